#!/bin/sh
# Builds the stand-in of the cases in review/7 and review/8. It needs the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin-3 ./review/standin-3
