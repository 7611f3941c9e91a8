#!/bin/bash
# The lines that docs/OPERATIONS.md looks for are those that real processes write: each event and field of
# the page's commands is found in the logs of a run in which targets crash and all slots are taken.
exec python3 tests/integration/operations.py
