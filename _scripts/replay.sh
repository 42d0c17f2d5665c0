#!/usr/bin/env bash
# Plays the days of deploy/days on the users' bench, and each seed in
# deploy/days/seeds.txt that ever broke a rule. It prints a line for each day
# and fails when a rule is broken.
#
#   _scripts/replay.sh FLEETBENCH SITES-FOLDER [JOBS]
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 sites=$2 jobs=${3:-4}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
"$bench" build >/dev/null
{
	for site in "$sites"/*.toml; do
		for day in deploy/days/*.toml; do echo "$site $day"; done
	done
	while read -r site day seed _; do
		[ -n "$site" ] && echo "$sites/$site.toml $day --seed $seed"
	done <deploy/days/seeds.txt
} >"$out/plan"
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
