#!/bin/sh
# Case 7 of the second review; claim.txt says what it shows. Build first: the deploy file's build, then review/build-2.sh.
# TROUBLE=0 plays it without the disruption. Exit: 0 the rule held, 1 it was broken, 2 it could not be played.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/pewterwheel ] || [ ! -x bin/review-2 ]; then
	echo "build first: the deploy file's build, then review/build-2.sh"
	exit 2
fi
exec bin/review-2 quiet-restart review/7
