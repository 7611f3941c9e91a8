#!/bin/bash
# kumquatctl against real balancers, agents and targets under traffic.
export KQ_BIN=${KQ_BIN:-$PWD/build/asan/bin}
exec python3 tests/integration/operators.py
