#!/bin/sh
# Builds the stand-ins of cases 6 to 10. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
go test -c -o target/review2.test ./review/_trial2
