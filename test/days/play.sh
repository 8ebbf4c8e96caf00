#!/usr/bin/env bash
# Plays each trouble that a site file of the users' bench lists as a day of its own, twice in
# the day, and prints a table of trouble by worth and broken rules. By hand, not in CI:
#   test/days/play.sh FLEETBENCH SITE [JOBS [growing]]
# growing: each trouble comes while the configuration grows to some 5,300 routes, which few days
# reach together with faults, and troubles are added that the site does not list.
set -euo pipefail

bench=${1:?path of fleetbench}
site=${2:?path of the site file}
jobs=${3:-4}
mode=${4:-alone}
days=$(mktemp -d)
trap 'rm -rf "$days"' EXIT

first=6.0 second=19.0 growth=""
if [ "$mode" = growing ]; then
	# The changes stand just before the troubles, and within the time that they may take.
	first=12.1 second=21.0
	growth='{ at = 5.0, kind = "big_config", count = 2500 },
  { at = 12.0, kind = "big_config", count = 1400 },
  { at = 14.0, kind = "config_change", how = "route" },
  { at = 20.8, kind = "big_config", count = 1400 },
  { at = 23.0, kind = "config_change", how = "route" },'
fi

troubles() {
	sed -n '/^troubles = \[/,/^\]/p' "$site" | grep '^ *{ kind'
	[ "$mode" != growing ] || cat <<'END'
  { kind = "reset_conns", share = 1.0, x = 1.0 },
  { kind = "reset_conns", how = "silent", share = 0.5, x = 0.7 },
  { kind = "node_freeze", share = 0.2, for_s = 3.0 },
  { kind = "node_slow", share = 0.3, for_s = 5.0 },
  { kind = "node_kill", on = "core", how = "leader", count = 2, for_s = 3.0 },
  { kind = "lossy", x = 0.05, for_s = 5.0 },
  { kind = "platform_slow", x = 100.0, for_s = 6.0 },
  { kind = "platform_lost", x = 0.35, for_s = 6.0 },
  { kind = "platform_compact", x = 5.0, for_s = 10.0 },
  { kind = "platform_down", how = "nodes leader silent", count = 3, for_s = 6.0 },
  { kind = "core_cut", how = "leader", count = 3, for_s = 5.0 },
END
}

# One file for each entry of the list: planned work stands under plan, all else under faults.
troubles | awk -v dir="$days" -v first="$first" -v second="$second" -v growth="$growth" '
function at(entry, second) { sub(/\{ */, "{ at = " second ", ", entry); sub(/,? *$/, "", entry); return entry }
{
	match($0, /kind = "[a-z_]+"/)
	kind = substr($0, RSTART + 8, RLENGTH - 9)
	planned = kind ~ /^(config_change|big_config|hup|roll_term|scale_in|scale_out)$/ || /how = "planned"/
	both = at($0, first) ",\n  " at($0, second) ",\n"
	name = sprintf("%02d-%s", NR, kind)
	printf "[[day]]\nname = \"%s\"\nslot = \"trouble\"\nseed = %d\nplan = [\n  %s\n%s]\nfaults = [\n%s]\n",
		name, 7000 + NR, growth, planned ? "  " both : "", planned ? "" : "  " both > (dir "/" name ".toml")
}'

play() {
	local out
	out=$("$1" run "$2" "$3" --why "each kind of trouble $4" 2>&1) || true
	printf '%-28s %s\n' "$(basename "$3" .toml)" \
		"$(awk '/ own\/srv /{getline; sub(/^[^ ]+ +/, ""); print substr($0, 1, 110); exit}' <<<"$out")"
	grep -m1 '^rules broken' <<<"$out" || true
	grep -q ' own/srv ' <<<"$out" || tail -n 3 <<<"$out"
}
export -f play
find "$days" -name '*.toml' | sort | xargs -P "$jobs" -I{} bash -c 'play "$0" "$1" "$2" "$3"' "$bench" "$site" {} "$mode" | sort
