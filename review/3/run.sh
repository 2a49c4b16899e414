#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not
# run. TROUBLE=0 plays the same without the end of a controller and the repeated request.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-harness ] && [ -x target/heronwick ] || exit 2
timeout --signal=INT --kill-after=2 115 target/review-harness repeat review/3
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
