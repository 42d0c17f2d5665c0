#!/usr/bin/env bash
# Plays the days of deploy/days on sites of the users' bench, and each seed in
# deploy/days/seeds.txt that ever broke a rule at one of them. It prints a line for each
# day and fails when a rule is broken.
#
#   _scripts/replay.sh [-j JOBS] [-d PATTERN] FLEETBENCH SITE.toml...
#
# PATTERN picks days by name, all by default. On a site of hundreds of machines a day takes
# one or two minutes: the standard run is all days on the newest small sites, and -d 'fleet-*'
# on the large one.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=4 pattern='*'
while getopts j:d: option; do
	case $option in
	j) jobs=$OPTARG ;;
	d) pattern=$OPTARG ;;
	*) exit 2 ;;
	esac
done
shift $((OPTIND - 1))
bench=$1
shift
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$bench" build >/dev/null
for site in "$@"; do
	for day in deploy/days/$pattern.toml; do echo "$site $day"; done
	while read -r name day seed _; do
		if [ "$name" = "$(basename "$site" .toml)" ]; then echo "$site $day --seed $seed"; fi
	done <deploy/days/seeds.txt
done >"$out/plan"
play() {
	site=$1 day=$2
	shift 2
	log=$(mktemp "$OUT/XXXXXX")
	"$BENCH" run "$site" "$day" "$@" --why "replay: $(basename "$day" .toml) $*" >"$log" 2>&1 || true
	line=$(grep -E '^[^ ]+ +[0-9]+/[0-9]+ ' "$log" | tail -1)
	printf '%s %s %s\n' "$(basename "$site" .toml)" "${line:-no result: $day}" "$*"
	if [ -z "$line" ] || grep -q BROKEN "$log"; then echo "$day" >>"$OUT/broken"; fi
}
export -f play
export BENCH=$bench OUT=$out
xargs -P "$jobs" -L 1 bash -c 'play "$@"' _ <"$out/plan"
[ ! -e "$out/broken" ]
