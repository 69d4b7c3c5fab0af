#!/usr/bin/env bash
# Plays the case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
if [ ! -x "$root/target/shallotfront" ] || [ ! -x "$root/target/standin-3" ]; then
	echo "build the project and review/build-3.sh first"
	exit 2
fi
export REVIEW_CASE=15 REVIEW_DIR=$PWD REVIEW_ROOT=$root
exec "$root/target/standin-3"
