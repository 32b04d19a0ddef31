#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/review/bin/stage" ] || [ ! -x "$root/target/dotterscheduler" ]; then
	echo "not built" >&2
	exit 2
fi
exec "$root/review/bin/stage" grey "$root" "$here"
