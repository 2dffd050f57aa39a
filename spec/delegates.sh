#!/usr/bin/env bash
# Checks delegates.pml with Spin. Both parts of the model must hold, and each variant without
# one guard must give a counterexample.
set -euo pipefail
cd "$(dirname "$0")"
model=$PWD/delegates.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# verify MACROS... builds and runs the verifier (pan). Its output goes to the file out.
verify() {
  spin -a "$@" "$model" >/dev/null
  gcc -O2 -w -DSAFETY -DNOCLAIM -DCOLLAPSE -DMEMLIM=2000 -o pan pan.c
  # Tokens that the lender never gets to transfer block: -E ignores their end states.
  ./pan -E -m500000 -w24 >out 2>&1 || true
}

for part in "" -DTRANSFERS; do
  verify $part
  if ! grep -q 'errors: 0' out || grep -qE 'max search depth too small|out of memory|Search not completed' out; then
    echo "model $part: fails or was not explored in full"
    cat out
    exit 1
  fi
  echo "model $part: holds, $(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' out) states"
done
for variant in NO_WAIT NO_ECHO NO_ARRIVAL NO_NUMBER NO_SPENDING NO_CONFIRMATION \
  "NO_HOLD -DTRANSFERS" "NO_SPENDING_TIME -DTRANSFERS" "NO_ASKED_TIME -DTRANSFERS"; do
  verify -D$variant
  if ! grep -q 'assertion violated' out; then
    echo "$variant: no counterexample"
    cat out
    exit 1
  fi
  echo "${variant% -D*}: counterexample found"
done
