#!/bin/bash
# The capacity page follows from the committed figures.
python3 tools/capacity.py --check && echo "docs/CAPACITY.md is up to date"
