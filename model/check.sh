#!/bin/sh
# Verifies the models exhaustively, and verifies that each build with one rule of
# the protocol disabled violates a property.
set -eu
cd "$(dirname "$0")"
if ! command -v spin >/dev/null || ! command -v gcc >/dev/null; then
  apt-get update -qq && apt-get install -y -qq spin gcc libc6-dev
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# verify NAME MODEL EXPECTED FLAGS runs spin on a model. EXPECTED is "holds" or
# "breaks".
verify() {
  name=$1; model=$2; expected=$3; shift 3
  ( cd "$work" && spin -a "$@" "$OLDPWD/$model" >spin.out && gcc -O2 -DSAFETY -DMEMLIM=6000 -o pan pan.c && ./pan -m200000 >pan.out )
  if grep -q 'max search depth too small\|out of memory\|reached -DMEMLIM' "$work/pan.out"; then
    echo "not exhaustive: $name"; failed=$((failed + 1)); return
  fi
  if grep -q 'errors: 0' "$work/pan.out"; then got=holds; else got=breaks; fi
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/pan.out" | head -1)
  if [ "$got" = "$expected" ]; then
    echo "ok: $name $got ($states states)"; passed=$((passed + 1))
  else
    echo "FAIL: $name $got, expected that it $expected"; failed=$((failed + 1))
  fi
}

verify "calls" program.pml holds -DLOG=5 -DTRIES=2
verify "budget" program.pml holds -DLOG=6 -DTRIES=2 -DWITH_BUDGET -DCALLS=2
verify "without the intent" program.pml breaks -DLOG=5 -DTRIES=2 -DNO_INTENT
verify "without reading the intent back" program.pml breaks -DLOG=5 -DTRIES=2 -DNO_READBACK
verify "without one open intent at a time" program.pml breaks -DLOG=5 -DTRIES=2 -DNO_SINGLE
verify "without remembering settled calls" program.pml breaks -DLOG=5 -DTRIES=2 -DNO_SETTLED
verify "without voiding a given-up intent" program.pml breaks -DLOG=5 -DTRIES=2 -DNO_VOID
verify "without forfeiting a slice" program.pml breaks -DLOG=6 -DTRIES=2 -DWITH_BUDGET -DCALLS=2 -DNO_FORFEIT
verify "without a granted slice" program.pml breaks -DLOG=6 -DTRIES=2 -DWITH_BUDGET -DCALLS=2 -DNO_GRANT
verify "without incarnations" program.pml breaks -DLOG=6 -DTRIES=2 -DWITH_BUDGET -DCALLS=2 -DNO_INCARNATION
if [ -f rate.pml ]; then
  verify "tokens" rate.pml holds
  verify "without the wait of a new holder" rate.pml breaks -DNO_WAIT
  verify "without the lease of a holder" rate.pml breaks -DNO_LEASE
  verify "without counting loans against the cap" rate.pml breaks -DNO_LOANS
  verify "without the expiry of grants" rate.pml breaks -DNO_EXPIRY
fi
echo "$passed passed, $failed failed"
test "$failed" -eq 0
