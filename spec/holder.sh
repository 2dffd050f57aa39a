#!/usr/bin/env bash
# Checks holder.pml with Spin. The model must hold in every state of both of its parts, and each
# variant without one guard must give a counterexample. The model is bounded to 3 upstreams,
# 2 gateways, 2 tokens, 3 terms and 2 commits. The verifier (pan) is built in a temporary
# directory.
set -euo pipefail

model=$(cd "$(dirname "$0")" && pwd)/holder.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify NAME [SPIN_FLAGS...] builds and runs the verifier. Its output goes to
# $work/NAME/pan.log.
verify() (
  name=$1
  shift
  mkdir "$work/$name"
  cd "$work/$name"
  spin "$@" -a "$model" >spin.log
  gcc -w -O3 -DSAFETY -DCOLLAPSE -DMEMLIM=2500 -o pan pan.c
  # Changes that are given up block: -E ignores their end states.
  ./pan -E -m100000 -w24 >pan.log 2>&1
)

# states NAME prints the number of states that verify NAME has found.
states() { sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1 states/p' "$work/$1/pan.log"; }

failed=0
# The parts run at the same time.
verify STAYS_UP -DSTAYS_UP &
first=$!
verify ALL_ANSWER -DALL_ANSWER || failed=1
wait $first || failed=1
for part in STAYS_UP ALL_ANSWER; do
  if grep -q 'errors: 0' "$work/$part/pan.log" && ! grep -qE 'Search not completed|max search depth|out of memory' "$work/$part/pan.log"; then
    echo "model $part: holds, $(states $part)"
  else
    echo "model $part: FAILS"
    tail -n 30 "$work/$part/pan.log"
    failed=1
  fi
done
for guard in NO_FREEZE NO_ANSWERS NO_FLOOR DROP_FLOOR NO_PROOF NO_SILENT NO_RAISE LATE_ORDER NO_RESET NO_BOUND OLD_COMMIT \
  ANY_TERM GAP LOOSE LATE_ANSWER FORGET RETURN_LEADS; do
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
