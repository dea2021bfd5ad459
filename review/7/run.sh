#!/bin/sh
# Starts nodes and stand-ins, see claim.txt. Exit: 1 the rule was broken, 0 it held, 2 the
# case couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file
# and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review-2 ] && [ -x target/peardriftd ] || { echo "could not run: build first"; exit 2; }
RECORD="$here/record.txt" exec target/review-2 drain
