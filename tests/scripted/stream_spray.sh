#!/bin/bash
# The platform's programs under faults on loopback, with a fabric that hands any packet to any balancer.
exec python3 tests/integration/stream_path.py --spray
