#!/bin/bash
# The table of a day's losses, from an abridged output of the bench; without the table it says so.
set -u
python3 tools/day_losses.py <<'END'
worth 0.833 = whole day 0.960 (weight 0.75)

from second          asked  in aim   late refused failed not owed  worth   p50 ms   p99 ms
30                     100     100      0       0      0        0  1.000     32.0     80.0
32                     100      98      2       0      0        0  0.990     32.0     80.0
34                     200      20     80      10     90        0  0.300   1303.8   1941.8

how tries ended: 200: 300

what happened
     7.0 s to     10.0 s  platform_compact 
    30.6 s to    34.48 s  release 4 servers
  34.032 s to   47.832 s  closing (power_off_all) one, two
the core was not stable: 7.000 to 12.260
END
echo "no table" | python3 tools/day_losses.py 2>&1
echo "status $?"
