#!/usr/bin/env bash
# Plays the case "moved". The stand-in program reads TROUBLE; with TROUBLE=0 it leaves out the
# disruption. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/burdockseam ] && [ -x target/standin2 ] || {
  echo "run the build of the deploy file and review/build-2.sh first"
  exit 2
}
exec target/standin2 moved "$here/record.txt"
