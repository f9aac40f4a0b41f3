#!/bin/sh
# Runs a case of the stand-ins: script.sh CASE FOLDER. Ends all processes that it started.
set -u
case=$1
folder=$2
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/release/poplar-router ] || [ ! -x target/review/standin ]; then
    echo "build the deploy file's programs and review/build.sh first"
    exit 2
fi
temp=$(mktemp -d) || exit 2
standin=
clean() {
    [ -n "$standin" ] && kill -9 "$standin" 2>/dev/null
    for file in "$temp"/*.pid; do
        [ -f "$file" ] && kill -9 "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$temp"
}
trap 'clean; exit 2' INT TERM HUP
target/review/standin "$case" "review/$folder/record.txt" "$temp" &
standin=$!
wait "$standin"
code=$?
standin=
clean
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
