#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves
# the disruption out. review/build.sh builds the stand-ins.
set -m
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review/rig ] && [ -x target/release/cumintraild-platform ] || { echo "build first" >&2; exit 2; }
target/review/rig long-request "$folder" &
rig=$!
# The processes that it started are in its process group.
trap 'kill -KILL -- -$rig 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait $rig
code=$?
[ $code -le 1 ] || code=2
exit $code
