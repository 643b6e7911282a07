#!/usr/bin/env bash
# Case 6: a router that is told to end closes connections over answers that are still on their way.
# Status 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)
for needed in bin/cottonyoke bin/review-2; do
	if [ ! -x "$root/$needed" ]; then
		echo "could not run: $needed is missing; build by the deploy file and review/build-2.sh"
		exit 2
	fi
done
exec "$root/bin/review-2" closing "$root" "$here"
