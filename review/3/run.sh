#!/bin/sh
exec "$(dirname "$0")/../script.sh" out_of_step 3
