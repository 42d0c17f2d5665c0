#!/usr/bin/env bash
# Regenerates docs/cli from the commands.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf docs/cli
for name in cmd/*/; do
	go run "./$name" docs docs/cli
done
