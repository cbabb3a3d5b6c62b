#!/bin/bash
# Plays the case. It exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays it without the disruption. Build first: the build line of
# deploy/system.toml, then review/build.sh.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-rig ] || { echo "run review/build.sh first" >&2; exit 2; }
exec ../../target/review-rig twice .
