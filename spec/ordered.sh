#!/usr/bin/env bash
# Checks ordered.pml with Spin. The model must hold in every state, and each variant
# without one guard must give a counterexample. The model is bounded to 3 upstreams,
# 2 instances, 3 tokens and logs of 2 entries. The verifier (pan) is built in a temporary
# directory.
set -euo pipefail

model=$(cd "$(dirname "$0")" && pwd)/ordered.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify NAME [SPIN_FLAGS...] builds and runs the verifier. Its output goes to
# $work/NAME/pan.log.
verify() {
  local name=$1
  shift
  mkdir "$work/$name"
  cd "$work/$name"
  spin "$@" -a "$model" >spin.log
  gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=2500 -o pan pan.c
  ./pan -m100000 -w24 >pan.log 2>&1
  cd - >/dev/null
}

# states NAME prints the number of states that verify NAME has found.
states() { sed -n 's/^ *\([0-9]*\) states, stored.*/\1 states/p' "$work/$1/pan.log"; }

failed=0
verify model
if grep -q 'errors: 0' "$work/model/pan.log" && ! grep -qE 'Search not completed|max search depth' "$work/model/pan.log"; then
  echo "model: holds, $(states model)"
else
  echo "model: FAILS"
  tail -n 30 "$work/model/pan.log"
  failed=1
fi
for guard in NO_ALL NO_HIGHEST NO_RAISE NO_WAIT NO_FIRST NO_SETTLE OWN_DRAW RESUME; do
  verify "$guard" -D"$guard"
  if grep -q 'assertion violated' "$work/$guard/pan.log"; then
    echo "$guard: counterexample after $(states "$guard")"
  else
    echo "$guard: NO COUNTEREXAMPLE"
    tail -n 30 "$work/$guard/pan.log"
    failed=1
  fi
done
exit $failed
