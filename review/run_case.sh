#!/usr/bin/env bash
# Usage: run_case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run.
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
started=$(mktemp) || exit 2
REVIEW_PIDS=$started timeout -k 2 110 target/review/release/review-case "$1" "$folder"
code=$?
# The program ends its daemons; these are left only if it was ended itself.
while read -r pid; do
    case $(readlink "/proc/$pid/exe" 2>/dev/null) in
    */damasktrack-sidecar*) kill -KILL "$pid" 2>/dev/null ;;
    esac
done <"$started"
rm -f "$started"
[ "$code" -le 1 ] && exit "$code"
exit 2
