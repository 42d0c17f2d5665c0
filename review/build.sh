#!/usr/bin/env bash
# Builds the cases and the stand-ins that they start, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[0-9]*/main.go; do
	dir=$(dirname "$main")
	go build -o "target/$dir" "./$dir"
done
