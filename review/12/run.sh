#!/bin/sh
# Plays this case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it plays the
# same without the disruption; VARIANT=long plays a job of long tasks in place of hopeless ones. It needs target/tackbeamd (the
# build of the deploy file) and target/rig3 (review/build-3.sh).
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/rig3 -program target/tackbeamd -trouble="$trouble" -record "$here/record.txt" "${VARIANT:-hopeless}"
