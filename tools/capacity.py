#!/usr/bin/env python3
"""Writes docs/CAPACITY.md from the table of a sweep, docs/capacity/sweep.txt.

With --check it only compares the page with what it would write.
"""

import math
import os
import re
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TABLE = os.path.join(ROOT, "docs/capacity/sweep.txt")
PAGE = os.path.join(ROOT, "docs/CAPACITY.md")

# The size of two years from now, from the users, and the instances of their large site.
TARGET = 4226
SMALLEST_BALANCER = "0.12 of a core, 80 MB, 4,100 descriptors, 20 Mbit/s"
AGENT = "0.15 of a core, 64 MB, 4,096 descriptors, 1,000 Mbit/s"
KEPT_DESCRIPTORS = 200  # of which files take their share

# Line of the table: (limit, its unit, what carries it).
LINES = {
    "agent: processor %": (15, "%", "frames and segments of its own target; one probe a tenth of a second"),
    "agent: memory MB": (64, "MB", "a record a member"),
    "agent: kB a second": (125000, "kB/s", "its target's answers; gossip carries changes only"),
    "agent: wake-ups a second": (None, "", "segments, probes, ticks"),
    "agent: connections": (4096 - KEPT_DESCRIPTORS, "", "reports of its target, one exchange of members"),
    "agent: new connections a second": (None, "", "reports of its target"),
    "balancer: processor %": (12, "%", "segments and frames of callers; the three seeds answer each joining member"),
    "balancer: memory MB": (80, "MB", "a record a member; buffers of connections at the three seeds"),
    "balancer: kB a second": (2500, "kB/s", "segments of callers; members sent to joining members by the seeds"),
    "balancer: wake-ups a second": (None, "", "segments, probes, ticks"),
    "balancer: connections": (4100 - KEPT_DESCRIPTORS, "", "every joining member asks one of three seeds for the members"),
    "balancer: new connections a second": (None, "", "exchanges of members, the store's calls"),
    "config acked, ms": (9000, "ms", "few watchers, gossip, peers ask each other"),
}

# What a line that does not fit needs.
REASONS = {
    "balancer: processor %": "The busiest are the three seeds while many instances start at once; the middle one has "
    "room.",
    "balancer: memory MB": "The same three, with the connections of all that join; the middle one has 2.4 MB at 300 "
    "instances.",
    "balancer: connections": "Half of the exchanges of an instance that joins go to the three seeds, so that parts "
    "of a fleet that met first do not stay apart. With the directory any member of it could answer; agents read it "
    "only while they have no member.",
}


def read():
    """Returns {line: [busiest at each size]} and the sizes."""
    sizes = []
    lines = {}
    with open(TABLE, encoding="utf-8") as file:
        for line in file:
            head = re.match(r"^\s+(\d+(?:\s+\d+)+)\s+power", line)
            if head:
                sizes = [int(size) for size in head.group(1).split()]
            pairs = re.findall(r"([\d.]+) / ([\d.]+)", line)
            if pairs and len(pairs) == len(sizes):
                name = re.split(r"\s{2,}", line.strip())[0]
                lines[name] = ([float(middle) for middle, _ in pairs], [float(busy) for _, busy in pairs])
    return sizes, lines


def power(sizes, values):
    """Returns the power of the size by which values grow, by least squares, between 0 and 2."""
    points = [(math.log(size), math.log(value)) for size, value in zip(sizes, values) if value > 0]
    if len(points) < 2:
        return 0.0
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _ in points)
    return min(2.0, max(0.0, slope))


def at_target(sizes, values):
    return values[-1] * (TARGET / sizes[-1]) ** power(sizes, values)


def number(value):
    return f"{value:,.0f}" if value >= 100 else f"{value:.1f}"


def rows(sizes, lines, role):
    out = []
    for name, (limit, unit, carried) in LINES.items():
        if not name.startswith(role) or name not in lines:
            continue
        middle, busy = lines[name]
        far, far_middle = at_target(sizes, busy), at_target(sizes, middle)
        verdict = "-" if limit is None else "fits" if far <= limit else "**does not fit**"
        shown = "-" if limit is None else f"{number(limit)} {unit}".strip()
        out.append("| " + " | ".join([name.replace(role + ": ", ""),
                                       " / ".join(number(value) for value in middle),
                                       " / ".join(number(value) for value in busy),
                                       f"{power(sizes, busy):.2f}", number(far_middle), number(far),
                                       shown, verdict, carried]) + " |")
        if verdict.startswith("**") and name in REASONS:
            out.append(("reason", name, REASONS[name]))
    return out


def write():
    sizes, lines = read()
    text = ["# Capacity", "",
            "Written by `make capacity` from [capacity/sweep.txt](capacity/sweep.txt); do not edit. The figures are",
            f"those of a sweep at {', '.join(str(size) for size in sizes)} instances of tibeb-arena-large, with a day of",
            "kills, rolls and changes; what stands under "
            f"{TARGET:,} is carried on by the power of the size that the",
            "played sizes show, and was not played.", ""]
    reasons = []
    for role, title, instance in (("balancer", "Balancer", SMALLEST_BALANCER), ("agent", "Agent", AGENT)):
        text += [f"## {title}", "", f"Limits: {instance}.", "",
                 f"| what | middle | busiest | power | middle at {TARGET:,} | busiest at {TARGET:,} | limit | verdict "
                 "| carried by |", "|---|---|---|---|---|---|---|---|---|"]
        for row in rows(sizes, lines, role):
            if isinstance(row, tuple):
                reasons.append(row)
            else:
                text.append(row)
        text.append("")
    text += ["## Configuration", "",
             f"| what | at {' / '.join(str(size) for size in sizes)} | power | at {TARGET:,} | limit | verdict |",
             "|---|---|---|---|---|---|"]
    name = "config acked, ms"
    far = at_target(sizes, lines[name][1])
    text += [f"| in force everywhere, ms | {' / '.join(number(value) for value in lines[name][1])} | "
             f"{power(sizes, lines[name][1]):.2f} | {number(far)} | {number(LINES[name][0])} | "
             f"{'fits' if far <= LINES[name][0] else '**does not fit**'} |", "",
             "## What does not fit, and why", ""]
    text += [f"- {name}: {why}" for _, name, why in reasons]
    text += ["- Not in the sweep: 14,000 addresses in one configuration. Every balancer parses all of it at each of",
             "  14,000 changes a day; about 2.6 MB a time. In simulated time (`test_page_transfer`, 300 balancers, one source,",
             "  links of 10 Mbit/s) such a document is held by all after 3.95 s; 122 MB are sent by all and 2.6 MB by the source;",
             "  a balancer uses 5.7 MB when it accepts it, an agent 37 KB.", "",
             "A search for the owner of a stream queries 12 agents at each size, see",
             "[design/stream-owners.md](design/stream-owners.md).", ""]
    return "\n".join(text)


def main():
    page = write()
    if sys.argv[1:] == ["--check"]:
        with open(PAGE, encoding="utf-8") as file:
            if file.read() == page:
                return 0
        print("docs/CAPACITY.md does not follow from docs/capacity/sweep.txt; run make capacity")
        return 1
    with open(PAGE, "w", encoding="utf-8") as file:
        file.write(page)
    return 0


sys.exit(main())
