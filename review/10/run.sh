#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/shallotfront ] || [ ! -x target/standin-2.test ]; then
	echo "build with the line of deploy/system.toml and review/build-2.sh first"
	exit 2
fi
exec target/standin-2.test case=idle dir=review/10
