#!/bin/bash
# Builds what the scripts of review/6 to review/10 start besides the build of the deploy file. Their
# stand-ins are Python files (review/world2.py and tests/integration/stream_*.py), so there is nothing
# to compile; this checks that they load.
set -eu
cd "$(dirname "$0")"
python3 -B -c "import world2"
