#!/usr/bin/env bash
# Checks promotion.pml with Spin. The model must hold in every state, and each variant
# without one guard must give a counterexample. The model is bounded to 3 upstreams,
# 3 terms and 2 log entries. The verifier (pan) is built in a temporary directory.
set -euo pipefail

model=$(cd "$(dirname "$0")" && pwd)/promotion.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# build NAME CC_FLAGS [SPIN_FLAGS...] builds the verifier in $work/NAME.
build() {
  local name=$1 cc=$2
  shift 2
  mkdir "$work/$name"
  (cd "$work/$name" && spin "$@" -a "$model" >spin.log && gcc -w -DSAFETY -DCOLLAPSE -DMEMLIM=2500 $cc -o pan pan.c)
}

# run NAME [HASH_TABLE_BITS] runs the verifier. It succeeds if the search was complete
# and found no error. A search that reaches the depth limit of 1,000 steps fails.
run() {
  (cd "$work/$1" && ./pan -m1000 -w"${2:-20}" >pan.log 2>&1) || return 1
  grep -q 'errors: 0' "$work/$1/pan.log" && ! grep -qE 'Search not completed|max search depth' "$work/$1/pan.log"
}

# states NAME prints the number of states that run NAME has found.
states() { sed -n 's/^ *\([0-9]*\) states, stored.*/\1 states/p' "$work/$1/pan.log"; }

# expect_holds NAME [SPIN_FLAGS...] checks that the model holds.
expect_holds() {
  local name=$1
  shift
  build "$name" -O3 "$@"
  if run "$name" 26; then
    echo "$name: holds, $(states "$name")"
  else
    echo "$name: FAILS"
    tail -n 30 "$work/$name/pan.log"
    return 1
  fi
}

# expect_counterexample GUARD checks that the variant without the guard violates an
# assertion. For NO_CONDITION the default search order takes 30 s, and the reverse order
# of processes takes a second.
expect_counterexample() {
  local guard=$1 order=
  if [ "$guard" = NO_CONDITION ]; then
    order=-DREVERSE
  fi
  build "$guard" "-O1 $order" -D"$guard"
  run "$guard" || true
  if grep -q 'assertion violated' "$work/$guard/pan.log"; then
    echo "$guard: counterexample after $(states "$guard")"
  else
    echo "$guard: NO COUNTEREXAMPLE"
    tail -n 30 "$work/$guard/pan.log"
    return 1
  fi
}

# check_variants checks LIVE and the variants without a guard.
check_variants() {
  local failed=0
  expect_holds LIVE -DLIVE || failed=1
  for guard in NO_ACK_MAJORITY NO_FENCED_CHECK NO_LOG_TERM NO_FENCE_MAJORITY NO_CHOOSE_HIGHEST NO_CONDITION \
    NO_CLAMPED_START NO_START_RULE; do
    expect_counterexample "$guard" || failed=1
  done
  return $failed
}

# The variants run in parallel with the model, which takes most of the time.
check_variants &
pid=$!
failed=0
expect_holds model || failed=1
wait "$pid" || failed=1
exit $failed
