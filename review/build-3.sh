#!/usr/bin/env bash
# Builds what the scripts of cases 11 to 15 start besides the deploy file's programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/review-3 ./review/_standin-3
