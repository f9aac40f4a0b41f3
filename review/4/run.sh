#!/bin/sh
exec "$(dirname "$0")/../script.sh" silent_engine 4
