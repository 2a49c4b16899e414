#!/usr/bin/env bash
# Checks that the version in production (deploy/service.toml) reads what this one
# writes before the switch to job chains, and the reverse, with the version's own
# code. With --renew it also writes anew what the tests keep of that version.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
production=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
work=$(mktemp -d)
trap 'git worktree remove --force "$work/production"; rm -rf "$work"' EXIT
git worktree add --quiet --detach "$work/production" "$production"
# The tests' last form whose helpers that version has.
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
