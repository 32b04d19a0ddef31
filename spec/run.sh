#!/usr/bin/env bash
# Checks every specification in this directory exhaustively with Spin. Each .pml
# file lists its variants in comment lines, "variant: NAME [expect-fail] ...". A
# correct variant must have no errors, and its search must be complete. A variant
# marked expect-fail must violate an assertion.
#
# Usage: spec/run.sh [file.pml ...]
set -euo pipefail
cd "$(dirname "$0")"

readonly memory_limit_mb=4096
readonly depth_limit=1000000
readonly time_limit=120

build="$(mktemp -d)"
trap 'rm -rf "$build"' EXIT

if [ $# -eq 0 ]; then
	set -- *.pml
fi

fail() {
	echo "FAILED: $*" >&2
	exit 1
}

# Extracts one number from Spin's report.
number() {
	sed -n "s/$2/\1/p" "$1" | head -n 1
}

# Checks one variant of one specification.
check_variant() {
	local spec="$1" variant="$2" expect="$3" report="$build/report" started
	started=$(date +%s%N)
	(cd "$build" && spin -a -D"$variant" "$OLDPWD/$spec" >spin.log) || fail "$spec $variant: spin"
	(cd "$build" && gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM="$memory_limit_mb" -o pan pan.c) || fail "$spec $variant: gcc"
	(cd "$build" && timeout "$time_limit" ./pan -m"$depth_limit" >report 2>&1) || true
	local errors states depth seconds
	grep -q 'errors:' "$report" || fail "$spec $variant: no result within $time_limit s"
	errors=$(number "$report" '.*errors: \([0-9]*\).*')
	states=$(number "$report" '^ *\([0-9.e+]*\) states, stored.*')
	depth=$(number "$report" '.*depth reached \([0-9]*\),.*')
	seconds=$(awk -v a="$started" -v b="$(date +%s%N)" 'BEGIN { printf "%.1f", (b - a) / 1e9 }')
	printf '%-14s %-20s %12s states  depth %-9s %6s s  errors %s%s\n' \
		"$spec" "$variant" "$states" "$depth" "$seconds" "$errors" "${expect:+ (expected)}"
	if [ "$expect" = expect-fail ]; then
		[ "${errors:-0}" -ge 1 ] || fail "$spec $variant: expected to fail, but passed"
		grep -q 'assertion violated' "$report" || fail "$spec $variant: failed for a reason other than an assertion"
		return
	fi
	[ "$errors" = 0 ] || { cat "$report"; fail "$spec $variant: errors"; }
	if grep -Eq 'Search not completed|max search depth too small|out of memory|memory limit' "$report"; then
		cat "$report"
		fail "$spec $variant: the search is not complete"
	fi
}

for spec in "$@"; do
	variants=$(sed -n 's/^.*variant: *\([A-Z_0-9]*\) *\(expect-fail\)\{0,1\}.*$/\1 \2/p' "$spec")
	[ -n "$variants" ] || fail "$spec lists no variants"
	while read -r variant expect; do
		check_variant "$spec" "$variant" "${expect:-}"
	done <<<"$variants"
done
