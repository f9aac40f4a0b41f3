#!/bin/sh
exec "$(dirname "$0")/../script.sh" query_crash 5
