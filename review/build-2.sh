#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the controller itself.
set -euo pipefail
cd "$(dirname "$0")/.."
for case in review/[4-8]/main.go; do
  n=$(basename "$(dirname "$case")")
  go build -o "target/review-$n" "./review/$n"
done
