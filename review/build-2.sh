#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/6. The programs of the fleet are built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin-2 ./review/standin-2
