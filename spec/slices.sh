#!/bin/sh
# Checks slices.pml with Spin. Both parts of the model must hold, and each variant without
# one guard must give a counterexample.
set -eu
spec=$(cd "$(dirname "$0")" && pwd)
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
cd "$tmp"

# verify NAME MACROS builds and runs the verifier (pan), with limits on depth and memory.
# Its output goes to NAME.log.
verify() {
	spin -a $2 "$spec/slices.pml" >spin.log 2>&1 || { cat spin.log; exit 1; }
	gcc -w -O2 -DSAFETY -DNOREDUCE -DCOLLAPSE -DMEMLIM=2800 -o pan pan.c
	./pan -m200000 -w24 >"$1.log" 2>&1 || true
}

status=0
for part in "" -DSLICES; do
	verify model "$part"
	if grep -q "errors: 0" model.log && ! grep -q -e "max search depth too small" -e "out of memory" -e "memory limit" model.log; then
		echo "model $part: holds, $(awk '/states, stored/ {print $1}' model.log) states"
	else
		echo "model $part: FAILED"
		cat model.log
		status=1
	fi
done
for variant in UNION ALL "EPOCH -DSLICES" "SILENCE -DSLICES" "PROMISE -DSLICES" "SEND_TIME -DSLICES" \
	"INCARNATION -DSLICES" "STOP -DSLICES" "VALID -DSLICES" "WAIT -DSLICES" "EXPIRY -DSLICES" "PHI -DSLICES"; do
	verify variant "-DNO_$variant"
	if grep -q "assertion violated" variant.log; then
		echo "without ${variant% -D*}: counterexample"
	else
		echo "without ${variant% -D*}: NO COUNTEREXAMPLE"
		status=1
	fi
done
exit $status
