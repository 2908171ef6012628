#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
timeout -k 5 110 java -Xmx400m -cp 'target/review:target/dogwoodwinch.jar:target/lib/*' Case usage review/3/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
