#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/bellwood ] && [ -x review/bin/case-10 ] || exit 2
exec review/bin/case-10
