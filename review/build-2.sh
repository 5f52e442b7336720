#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and later. They use the standard library only. Like the emulator of the platform, which the
# boundary test passes over by the name of its folder, they may use the names of the protocol.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/cases ./review/_cases-2/emulator/edgeplatform
