#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd) || exit 2
if [ ! -x "$ROOT/target/godwitspreadd" ] || [ ! -x "$ROOT/target/review.test" ]; then
    echo "run the build of the deploy file and review/build.sh first"
    exit 2
fi
RECORD="$PWD/record.txt"
export ROOT RECORD
exec "$ROOT/target/review.test" -test.v -test.run '^TestQuotaAfterOutage$'
