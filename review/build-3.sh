#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/cases-3 ./review/_cases-3/standin
