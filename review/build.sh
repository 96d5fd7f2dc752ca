#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. It follows the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -ldflags=-linkmode=external -o target/ ./review/standin
