#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) && root=$(cd "$here/../.." && pwd) || exit 2
[ -x "$root/review/bin/case3" ] && [ -x "$root/bin/bellwood" ] || exit 2
temp=$(mktemp -d) || exit 2
TMPDIR=$temp timeout -k 5 110 "$root/review/bin/case3" "$root" "$here/record.txt"
code=$?
[ -n "$CASE_KEEP" ] || rm -rf "$temp"
[ "$code" -le 2 ] || code=2
exit "$code"
