#!/usr/bin/env python3
"""Prints where a day of the users' bench loses credit: the windows below full credit, with the requests that were late or
not served, and the events that began shortly before.

usage: day_losses.py < OUTPUT of 'fleetbench run SITE DAY'
"""

import re
import sys

WINDOW_S = 2
EVENT_LEAD_S = 4  # an event is named beside the windows that begin within this time after it


def read_windows(text):
    """Returns rows (start, asked, in time, late, refused, failed, credit) of the table of windows."""
    table = re.search(r"^from second.*?\n(.*?)(?:\n\n|\Z)", text, re.S | re.M)
    if table is None:
        sys.exit("the output has no table 'from second'; give the output of a run of one day")
    rows = [line.split() for line in table.group(1).splitlines()]
    return [(int(r[0]), *(int(value) for value in r[1:6]), float(r[7])) for r in rows]


def read_events(text):
    """Returns (start, text) of what happened on the day."""
    part = re.search(r"^what happened\n(.*?)(?:\n\n|\Z)", text, re.S | re.M)
    lines = part.group(1).splitlines() if part else []
    found = [re.match(r" *([\d.]+) s to +([\d.]+) s +(\w+(?: \([^)]*\))?)", line) for line in lines]
    return [(float(m.group(1)), f"{m.group(3)} {m.group(1)}-{m.group(2)}") for m in found if m]


def main():
    text = sys.stdin.read()
    windows = read_windows(text)
    events = read_events(text)
    total = sum(row[1] for row in windows)
    if total == 0:
        sys.exit("no request was sent on this day")
    print("window    asked  in time   late  refused  failed  share lost  events")
    lost_sum = 0.0
    for start, asked, in_time, late, refused, failed, credit in windows:
        lost = (1 - credit) * asked / total
        lost_sum += lost
        if lost < 0.0005:
            continue
        near = [name for at, name in events if start - EVENT_LEAD_S <= at < start + WINDOW_S]
        print(f"{start:3}-{start + WINDOW_S:<3} {asked:8} {in_time:8} {late:6} {refused:8} {failed:7} {lost:11.4f}  "
              + "; ".join(near))
    print(f"all     {total:8} {'':33} {lost_sum:11.4f}")


if __name__ == "__main__":
    main()
