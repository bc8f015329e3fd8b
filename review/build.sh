#!/bin/sh
# Builds the cases with their stand-ins. The daemons come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go test -c -o target/review.test ./review/_check
