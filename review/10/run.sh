#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 the disruption is left out. Build the stand-ins with review/build-2.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/earlier ] && [ -x target/release/poplar-router ] || exit 2
temp=$(mktemp -d) || exit 2
target/review-2/earlier restart_budget review/10/record.txt "$temp" &
standin=$!
clean() {
    kill -9 "$standin" 2>/dev/null
    for file in "$temp"/*.pid; do
        [ -f "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$temp"
}
trap 'clean; exit 2' INT TERM HUP
wait "$standin"
code=$?
clean
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
