#!/usr/bin/env bash
# Exits with 1 if the rule of this case was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/cedardoor ] || [ ! -x target/review-2/rig ]; then
	echo "build first: the command of deploy/service.toml, then review/build-2.sh" >&2
	exit 2
fi
exec target/review-2/rig slowed review/7
