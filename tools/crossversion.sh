#!/usr/bin/env bash
# Checks that the version in production (deploy/service.toml) can read the records
# that this version writes before the switch to job chains, and vice versa. Each
# version is run from its own code. With --renew it also replaces the records of the
# production version that the tests use.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
production=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
work=$(mktemp -d)
trap 'git worktree remove --force "$work/production"; rm -rf "$work"' EXIT
git worktree add --quiet --detach "$work/production" "$production"
# The newest revision of the tests that compiles with the helpers of that version.
git show 0268155:cmd/heronwick/crossversion_test.go >"$work/production/cmd/heronwick/crossversion_test.go"

HERONWICK_STORE_TO_WRITE="$work/new.json" go test -count=1 -run '^TestRecordsForAnotherVersion$' ./cmd/heronwick
(cd "$work/production" &&
  HERONWICK_STORE_TO_WRITE="$work/old.json" go test -count=1 -run '^TestRecordsForAnotherVersion$' ./cmd/heronwick &&
  HERONWICK_STORE_TO_READ="$work/new.json" go test -count=1 -run '^TestRecordsOfAnotherVersion$' ./cmd/heronwick)
HERONWICK_STORE_TO_READ="$work/old.json" go test -count=1 -run '^TestRecordsOfAnotherVersion$' ./cmd/heronwick
if [ "${1:-}" = --renew ]; then
  cp "$work/old.json" "$root/cmd/heronwick/testdata/production/store.json"
fi
echo "both versions read what the other one writes"
