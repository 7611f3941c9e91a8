#!/bin/bash
# The names of the users' platform stand in platform/ alone; that the check can fail, it shows on that
# folder.
names='kv-(key|range|watch|txn|lease|keep)|heartbeat_url|datagram_addr|/deregister|op/config|/-/|'
names+='KUMQUATHILL_NODE_FILE|cold_remaining_ms|target_latency_ms|expected_rev|store_revision|'
names+='allow_stale|backends|idle_timeout_ms"|machine_class|forwarding_mode'
grep -rnE "$names" src include programs && exit 1
grep -rlE "$names" platform | wc -l
