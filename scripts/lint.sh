#!/usr/bin/env bash
# gofmt, go vet and golangci-lint at a pinned version, installed on first use.
set -euo pipefail
cd "$(dirname "$0")/.."
version=v2.15.0
unformatted=$(gofmt -l $(git ls-files '*.go'))
[ -z "$unformatted" ] || { echo "gofmt: $unformatted"; exit 1; }
go vet ./...
tool=$(go env GOPATH)/bin/golangci-lint
if ! "$tool" version 2>/dev/null | grep -q "${version#v}"; then
  go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$version"
fi
"$tool" run ./...
