#!/bin/sh
# The stand-ins of the scripts are Python programs of tests/integration and review; there is nothing
# to compile. Checks that they can be loaded and that the programs of the deploy file are there.
cd "$(dirname "$0")/.." || exit 1
python3 -c 'import sys; sys.path.insert(0, "review"); import world' || exit 1
test -x target/kumquat-balancer && test -x target/kumquat-agent
