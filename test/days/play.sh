#!/usr/bin/env bash
# Plays each trouble that a site file of the users' bench lists as a day of its own, twice in
# the day, and prints a table of trouble by worth and broken rules. By hand, not in CI:
#   test/days/play.sh FLEETBENCH SITE [JOBS]
set -euo pipefail

bench=${1:?path of fleetbench}
site=${2:?path of the site file}
jobs=${3:-4}
days=$(mktemp -d)
trap 'rm -rf "$days"' EXIT

# One file for each entry of the list: planned work stands under plan, all else under faults.
sed -n '/^troubles = \[/,/^\]/p' "$site" | grep '^ *{ kind' | awk -v dir="$days" '
function at(entry, second) { sub(/\{ */, "{ at = " second ", ", entry); sub(/,? *$/, "", entry); return entry }
{
	match($0, /kind = "[a-z_]+"/)
	kind = substr($0, RSTART + 8, RLENGTH - 9)
	planned = kind ~ /^(config_change|big_config|hup|roll_term|scale_in|scale_out)$/ || /how = "planned"/
	both = at($0, "6.0") ",\n  " at($0, "19.0") ",\n"
	name = sprintf("%02d-%s", NR, kind)
	printf "[[day]]\nname = \"%s\"\nslot = \"trouble\"\nseed = %d\nplan = [\n%s]\nfaults = [\n%s]\n",
		name, 7000 + NR, planned ? "  " both : "", planned ? "" : "  " both > (dir "/" name ".toml")
}'

play() {
	local out
	out=$("$1" run "$2" "$3" --why "each kind of trouble alone" 2>&1) || true
	printf '%-28s %s\n' "$(basename "$3" .toml)" \
		"$(awk '/ own\/srv /{getline; sub(/^[^ ]+ +/, ""); print substr($0, 1, 110); exit}' <<<"$out")"
	grep -m1 '^rules broken' <<<"$out" || true
}
export -f play
find "$days" -name '*.toml' | sort | xargs -P "$jobs" -I{} bash -c 'play "$0" "$1" "$2"' "$bench" "$site" {} | sort
