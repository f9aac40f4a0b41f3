#!/bin/sh
exec "$(dirname "$0")/../script.sh" restart_budget 3
