#!/bin/sh
# Case 3. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
folder=$(pwd)
root=$(cd ../.. && pwd)
[ -x "$root/target/review/lasting" ] || "$root/review/build.sh" || exit 2
timeout -k 5 115 "$root/target/review/lasting" "$root" "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
