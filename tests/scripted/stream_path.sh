#!/bin/bash
# The platform's programs under faults on loopback.
exec python3 tests/integration/stream_path.py
