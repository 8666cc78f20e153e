#!/usr/bin/env bash
# Runs case 10. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2 ] || [ ! -x target/celerystep-instance ]; then
  echo "build the deploy file and review/build-2.sh first" >&2
  exit 2
fi
exec target/review-2 10 review/10
