#!/usr/bin/env bash
# Case 6, see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
test=../../target/review-5 program=../../target/heronwick
[ -x "$test" ] && [ -x "$program" ] || { echo "build first: see review/build-2.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 118 "$test" "$program" "$folder" record.txt cancelled
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
