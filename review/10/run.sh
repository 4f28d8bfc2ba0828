#!/usr/bin/env bash
# The leader is killed while many jobs wait; no host may give under half of them as pending afterwards.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/monsoonchuted ] && [ -x target/review-2/harness2 ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec target/review-2/harness2 pending-after-takeover review/10/record.txt
