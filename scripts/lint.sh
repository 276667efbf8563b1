#!/usr/bin/env bash
# Runs gofmt, go vet and golangci-lint. Installs the pinned version of golangci-lint
# if it is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
version=v2.15.0
unformatted=$(gofmt -l $(git ls-files '*.go'))
[ -z "$unformatted" ] || { echo "gofmt: not formatted: $unformatted"; exit 1; }
go vet ./...
tool=$(go env GOPATH)/bin/golangci-lint
if ! "$tool" version 2>/dev/null | grep -q "${version#v}"; then
  go install "github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$version"
fi
"$tool" run ./...
