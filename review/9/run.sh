#!/usr/bin/env bash
# A worker refuses its starts while jobs wait; the hosts must go on to count the jobs that have not begun.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/monsoonchuted ] && [ -x target/review-2/harness2 ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec target/review-2/harness2 pending-forgets-jobs review/9/record.txt
