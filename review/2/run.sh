#!/bin/sh
# Runs the case. TROUBLE=0 leaves the disruption out. Exit status: 1 the rule was broken,
# 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/dotterelswitch ] && [ -x review/bin/case2 ] || exit 2
exec review/bin/case2 "$folder/record.txt"
