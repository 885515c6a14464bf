#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
for number in 1 2 3; do
	if [ -e "review/$number/main.go" ]; then
		go build -o "review/bin/case$number" "./review/$number"
	fi
done
