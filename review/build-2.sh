#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the deploy file's programs: the
# project's stand-ins and those of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/standin ./cmd/standin
go build -o bin/review-2 ./review/_standin-2
