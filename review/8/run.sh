#!/bin/sh
# Runs case 8 for less than 120 s. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/kit2 ] || [ ! -x target/mastwheeld ]; then
	echo "not built" >&2
	exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/kit2 -folder review/8 -daemon target/mastwheeld -trouble=$trouble higher-rank
