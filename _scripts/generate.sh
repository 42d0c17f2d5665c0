#!/usr/bin/env bash
# Regenerates the inner protocol's code. It needs protoc (Debian package
# protobuf-compiler); the two plugins are built at the versions in go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN="$bin" go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
PATH="$bin:$PATH" protoc -I pkg/wire/wirepb \
	--go_out=paths=source_relative:pkg/wire/wirepb \
	--go-drpc_out=paths=source_relative:pkg/wire/wirepb \
	hopwell.proto
