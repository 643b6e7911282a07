#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into bin/, after the build of the deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p bin
go build -o bin/review-2 ./review/rig-2
