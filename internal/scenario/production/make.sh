#!/usr/bin/env bash
# Writes the files beside this script with the version in production.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(git -C "$here" rev-parse --show-toplevel)
commit=$(sed -n 's/^production = "\(.*\)"$/\1/p' "$root/deploy/service.toml")
tree=$(mktemp -d)
trap 'git -C "$root" worktree remove --force "$tree"' EXIT
git -C "$root" worktree add --detach "$tree" "$commit"
mkdir "$tree/internal/golden"
cp "$here/make.go.txt" "$tree/internal/golden/main.go"
(cd "$tree" && go run ./internal/golden "$here")
