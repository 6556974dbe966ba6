#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
for program in "$root/target/quetzalhitch" "$root/target/review/standin"; do
	if [ ! -x "$program" ]; then
		echo "$program is not built" >&2
		exit 2
	fi
done
"$root/target/review/standin" end-at-handover "$root" "$here/record.txt"
status=$?
tail -n 12 "$here/record.txt"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
