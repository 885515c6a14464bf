#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/rig ./review/rig2
