#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-second/pausedreplicas
[ -x "$program" ] && [ -x target/dotterelswitch ] || { echo "build first: deploy/system.toml, review/build-2.sh"; exit 2; }
"$program" review/7 target/dotterelswitch
