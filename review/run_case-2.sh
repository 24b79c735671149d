#!/bin/sh
# Usage: run_case-2.sh PROGRAM. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/.." || exit 2
program=target/review-2/release/$1
[ -x "$program" ] && [ -x target/release/damasktrack-sidecar ] || exit 2
started=$(mktemp) || exit 2
REVIEW_PIDS=$started timeout -k 2 115 "$program"
code=$?
# The program ends its daemons itself; these are left only if it was ended.
while read -r pid; do
    case $(readlink "/proc/$pid/exe" 2>/dev/null) in
    */damasktrack-sidecar*) kill -KILL "$pid" 2>/dev/null ;;
    esac
done <"$started"
rm -f "$started"
[ "$code" -le 1 ] && exit "$code"
exit 2
