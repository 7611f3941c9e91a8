#!/bin/bash
# A short soak with fixed seeds: the promises hold while processes, targets and the store fail.
exec python3 tests/integration/soak.py --seeds 1-2 --seconds 4
