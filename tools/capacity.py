#!/usr/bin/env python3
"""Writes docs/CAPACITY.md from measured figures.

Reads lines `name value unit` from build/measured/*.txt and, for what no run gave there, from the
committed docs/capacity/measured.txt. Without arguments it saves the union to the latter and writes
the page. With --check it only compares the page with docs/capacity/measured.txt.
"""

import glob
import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
COMMITTED = os.path.join(ROOT, "docs/capacity/measured.txt")
PAGE = os.path.join(ROOT, "docs/CAPACITY.md")

# The target size, from the users.
NODES = 4200
ENDPOINTS = 41000
ADDRESSES = 14000
FLOWS = 76_000_000
NEW_FLOWS_PER_S = 190_000
REGIONS = 7
DOMAINS = 21
CHANGES_PER_DAY = 14000
FAILURES_PER_DAY = 94
REPLACEMENTS_PER_DAY = 2800
IN_FORCE_S = 9
BUDGET_CORE = 0.038
BUDGET_BYTES = 32e6
BUDGET_BYTES_PER_S = 21000

# Assumptions, named on the page.
WATCHERS_PER_DOMAIN = 2
RACK = 40
DOCUMENT_BYTES = 600
RESTART_CLAIMS = 2  # a replacement is one leave and one join
KEPT_ANSWERS_MAX = 20_000  # bounds of an agent, as src/process/agent_data.c sets them
KEPT_BYTES_MAX = 8 << 20
DAY_S = 86400


def read(path, figures):
    with open(path, encoding="utf-8") as file:
        for line in file:
            fields = line.split()
            if len(fields) == 3 and not line.startswith("#"):
                figures[fields[0]] = (float(fields[1]), fields[2])


def load(with_builds):
    figures = {}
    if os.path.exists(COMMITTED):
        read(COMMITTED, figures)
    if with_builds:
        for path in sorted(glob.glob(os.path.join(ROOT, "build/measured/*.txt"))):
            read(path, figures)
    return figures


def save(figures):
    with open(COMMITTED, "w", encoding="utf-8") as file:
        file.write("# name value unit; written by tools/capacity.py from build/measured\n")
        for name in sorted(figures):
            value, unit = figures[name]
            file.write(f"{name} {value:.10g} {unit}\n")


def number(value, unit):
    if unit == "B" and value >= 1e6:
        return f"{value / 1e6:.1f} MB"
    if unit == "B" and value >= 1e3:
        return f"{value / 1e3:.1f} KB"
    if unit == "%":
        return f"{value:.3f}% of a core"
    return f"{value:,.3g} {unit}" if value < 1000 else f"{value:,.0f} {unit}"


class Table:
    """Lines of one role; a line whose figure is missing says so."""

    def __init__(self, figures):
        self.figures = figures
        self.lines = []

    def add(self, what, mechanism, needs, formula, unit, budget=None):
        """Adds a line; @needs are the measured names that @formula takes."""
        missing = [name for name in needs if name not in self.figures]
        limit = "-" if budget is None else number(budget, unit)
        if missing:
            self.lines.append((what, f"not measured ({', '.join(missing)})", limit, "not measured",
                               mechanism))
            return None
        value = formula(*[self.figures[name][0] for name in needs])
        verdict = "-" if budget is None else "fits" if value <= budget else "**does not fit**"
        self.lines.append((what, number(value, unit), limit, verdict, mechanism))
        return value

    def text(self):
        head = "| what | at the target size | budget | verdict | mechanism |\n|---|---|---|---|---|\n"
        return head + "".join("| " + " | ".join(line) + " |\n" for line in self.lines)


BALANCERS_R = NODES / REGIONS
AGENTS_R = ENDPOINTS / REGIONS
MEMBERS_R = BALANCERS_R + AGENTS_R
CLAIMS_PER_S = (REPLACEMENTS_PER_DAY * RESTART_CLAIMS + FAILURES_PER_DAY * 2) / REGIONS / DAY_S
CHANGES_PER_S = CHANGES_PER_DAY / DAY_S


def control_traffic(table):
    """Adds the lines that every member has."""
    table.add("probes, B/s sent", "SWIM, one member every 200 ms",
              ["membership_idle_bytes_per_s_6500"], lambda b: b, "B/s", BUDGET_BYTES_PER_S)
    table.add("member changes, B/s sent", "gossip of changes, short items",
              ["membership_change_bytes"], lambda b: b * CLAIMS_PER_S, "B/s", BUDGET_BYTES_PER_S)
    table.add("configuration changes, B/s sent", "announcement by gossip, pull, acknowledgement tree",
              ["config_change_bytes"], lambda b: b * CHANGES_PER_S, "B/s", BUDGET_BYTES_PER_S)
    table.add("all of these, B/s sent", "token bucket with priorities",
              ["membership_idle_bytes_per_s_6500", "membership_change_bytes", "config_change_bytes"],
              lambda p, m, c: p + m * CLAIMS_PER_S + c * CHANGES_PER_S, "B/s", BUDGET_BYTES_PER_S)
    table.add("changes of configuration a second that the budget carries",
              "what probes leave of the budget",
              ["membership_idle_bytes_per_s_6500", "config_change_bytes"],
              lambda p, c: (BUDGET_BYTES_PER_S - p) / c, "1/s")
    table.add("processor time, real sockets", "one UDP socket, received datagrams a second",
              ["membership_datagrams_per_s", "control_cpu_ns_per_datagram"],
              lambda d, ns: d * ns / 1e9 * 100, "%", BUDGET_CORE * 100)


def balancer(figures):
    table = Table(figures)
    control_traffic(table)
    table.add("member table", "one record a member, descriptions interned",
              ["membership_member_bytes"], lambda b: b * MEMBERS_R, "B", BUDGET_BYTES)
    table.add("documents, all 14,000 services", "table of documents",
              ["config_document_bytes"], lambda b: b * ADDRESSES, "B", BUDGET_BYTES)
    table.add("control memory in all", "heap of one instance, members, documents, catalogue, routes",
              ["control_heap_bytes", "membership_member_bytes", "config_document_bytes",
               "catalog_bytes_per_service", "routes_bytes_per_service"],
              lambda h, m, d, c, r: h + m * MEMBERS_R + (d + c + r) * ADDRESSES, "B", BUDGET_BYTES)
    table.add("newcomer learns the members, s", "digest exchange with random members",
              ["membership_item_bytes"], lambda b: b * MEMBERS_R / BUDGET_BYTES_PER_S, "s")
    table.add("newcomer learns all 14,000 documents, s", "pull at the budget of one sender",
              ["config_document_bytes"],
              lambda b: DOCUMENT_BYTES * ADDRESSES / BUDGET_BYTES_PER_S, "s", IN_FORCE_S)
    table.add("parsed configuration, all 14,000 services", "catalogue, one fixed-size entry a service",
              ["catalog_bytes_per_service"], lambda b: b * ADDRESSES, "B", BUDGET_BYTES)
    table.add("routes, all 14,000 services", "two bytes a candidate, kept while nothing changes",
              ["routes_bytes_per_service"], lambda b: b * ADDRESSES, "B", BUDGET_BYTES)
    table.add("processor time of routes", "only touched services are computed anew",
              ["routes_change_ms"],
              lambda ms: ms / 1e3 * (FAILURES_PER_DAY + RESTART_CLAIMS * REPLACEMENTS_PER_DAY)
              / REGIONS / DAY_S * 100, "%", BUDGET_CORE * 100)
    table.add("flow cache if it held every flow of the region",
              "bounded cache; a flow that is not in it costs one hop more",
              ["flow_table_bytes_per_flow"], lambda b: b * FLOWS / REGIONS, "B")
    table.add("flow cache, an even share of the flows", "bounded cache",
              ["flow_table_bytes_per_flow"], lambda b: b * FLOWS / NODES, "B")
    table.add("lookups of new flows, processor time", "sharded table",
              ["flow_table_lookup_ns"], lambda ns: ns * NEW_FLOWS_PER_S / NODES / 1e9 * 100, "%")
    return table.text()


def agent(figures):
    table = Table(figures)
    control_traffic(table)
    table.add("member table", "one record a member, descriptions interned",
              ["membership_member_bytes"], lambda b: b * MEMBERS_R, "B", BUDGET_BYTES)
    table.add("revisions of all 14,000 services", "own service's document, revisions of the others",
              ["config_document_bytes"], lambda b: (b - DOCUMENT_BYTES) * ADDRESSES, "B",
              BUDGET_BYTES)
    table.add("control memory in all", "heap of one instance, members and revisions",
              ["control_heap_bytes", "membership_member_bytes", "config_document_bytes"],
              lambda h, m, d: h + m * MEMBERS_R + (d - DOCUMENT_BYTES) * ADDRESSES, "B",
              BUDGET_BYTES)
    table.add("flows held", "flow state of the agent", ["agent_bytes_per_flow"],
              lambda b: b * FLOWS / ENDPOINTS, "B")
    table.add("kept answers, at the bound", "request guard", ["guard_bytes_per_answer"],
              lambda b: min(b * KEPT_ANSWERS_MAX, KEPT_BYTES_MAX), "B", BUDGET_BYTES)
    table.add("bytes of a bucket's hand-over", "registration with the new home",
              ["handover_bytes_per_flow"], lambda b: b * FLOWS / ENDPOINTS, "B")
    return table.text()


def watcher(figures):
    table = Table(figures)
    table.add("watchers in all", "rendezvous over the live balancers of a failure domain", [],
              lambda: DOMAINS * WATCHERS_PER_DOMAIN, "watches")
    table.add("changes delivered to one watcher", "store watch", [], lambda: CHANGES_PER_S, "1/s")
    table.add("bytes a second to one watcher, documents alone", "store watch", [],
              lambda: CHANGES_PER_S * DOCUMENT_BYTES, "B/s", BUDGET_BYTES_PER_S)
    table.add("first read of all documents", "store read by prefix", [],
              lambda: ADDRESSES * DOCUMENT_BYTES, "B")
    return table.text()


def store(figures):
    table = Table(figures)
    table.add("writes", "compare-and-swap of one document", [], lambda: CHANGES_PER_S, "1/s", 200)
    table.add("watch deliveries", "watchers in each failure domain", [],
              lambda: CHANGES_PER_S * DOMAINS * WATCHERS_PER_DOMAIN, "1/s", 2000)
    table.add("values held", "one document a service", [], lambda: ADDRESSES * DOCUMENT_BYTES, "B")
    return table.text()


def events(figures):
    table = Table(figures)
    table.add("half of the members know of a death, s", "probe, suspicion, gossip; 6,500 members",
              ["membership_detect_half_s"], lambda s: s, "s", 5)
    table.add("a change is in force and known to be, s",
              "gossip, pull, acknowledgement tree; 6,500 members", ["config_in_force_s"],
              lambda s: s, "s", IN_FORCE_S)
    table.add(f"rack of {RACK} lost, B a node", "one death at a time, gossip",
              ["membership_change_bytes"], lambda b: 2 * RACK * b, "B")
    table.add("failure domain lost, 200 of 600 members, s", "one numbered event",
              ["domain_lost_s_600"], lambda s: s, "s")
    table.add("failure domain restarts, 200 of 600 members, s", "digest exchange, gossip",
              ["domain_restart_s_600"], lambda s: s, "s")
    table.add("descriptions of a restarted failure domain, s of the whole budget",
              "each node receives each description once at least", ["membership_item_bytes"],
              lambda b: b * MEMBERS_R / 3 / BUDGET_BYTES_PER_S, "s")
    table.add("region cut in halves for 2 minutes, 150 members, healed after, s",
              "dead members are probed now and then", ["partition_healed_s_150"], lambda s: s, "s")
    return table.text()


HEAD = f"""# Capacity

Written by `make capacity` from [capacity/measured.txt](capacity/measured.txt); do not edit. What each
name means is in [capacity/README.md](capacity/README.md). A line says "not measured" when no run gave
its slope.

The size: {NODES:,} balancers and {ENDPOINTS:,} agents behind {ADDRESSES:,} addresses,
{FLOWS // 1_000_000} million open flows, {NEW_FLOWS_PER_S:,} new ones a second, {REGIONS} regions,
{DOMAINS} failure domains, {CHANGES_PER_DAY:,} changes a day in force within {IN_FORCE_S} s,
{FAILURES_PER_DAY} failures and {REPLACEMENTS_PER_DAY:,} replacements a day. A region is one group of
{BALANCERS_R:.0f} balancers and {AGENTS_R:,.0f} agents. Budget of a node for control: 3.8% of a core,
32 MB, 21 KB a second.

Assumed: every region knows all {ADDRESSES:,} services (one document of {DOCUMENT_BYTES} bytes each),
{WATCHERS_PER_DOMAIN} watchers a failure domain, a replacement is one leave and one join. The budget of
bytes limits what a node sends, on average over seconds; the bucket holds 4 s of it. Each line of
bytes is held against the whole budget, and their sum as well.
"""

TAIL = """## What does not fit, and what is not known

- A new balancer that must learn every service's document from one peer at 21 KB a second is ready
  only after minutes. It asks random balancers, each within its own budget, so its own receiving rate
  is the limit that is left; that is not bounded. Documents are pulled as they are announced, so
  changes still arrive within the target.
- Regions are groups of their own and exchange nothing. A region that is apart for an hour keeps its
  members and configuration; it gets no new configuration unless it reaches the store. One address
  that is served in several regions is the fabric's matter.
- While a third of 600 members was lost, a node sent slightly more than 21 KB a second over the four
  seconds until all knew (`make bench-decisions` prints it as missed): the bucket's burst and the
  probes of the check, which may overdraw it. Over ten seconds it is below.
- After the restart of a whole failure domain, the descriptions of its members need the whole budget
  for the time stated above at least; probes keep their priority meanwhile.
- Memory is heap in use; the code of libraries and the stacks of ZeroMQ's threads are not in it.
- Full-size runs are library nodes in one thread; real sockets were measured with 100 instances in
  one process.
"""


def page(figures):
    parts = [HEAD]
    for title, body in (("Balancer", balancer), ("Agent", agent), ("Watcher", watcher),
                        ("Store", store), ("Events", events)):
        parts.append(f"## {title}\n\n{body(figures)}")
    return "\n".join(parts + [TAIL])


def main():
    if sys.argv[1:] == ["--check"]:
        with open(PAGE, encoding="utf-8") as file:
            if file.read() == page(load(False)):
                return 0
        print("docs/CAPACITY.md differs from docs/capacity/measured.txt; run make capacity")
        return 1
    figures = load(True)
    save(figures)
    with open(PAGE, "w", encoding="utf-8") as file:
        file.write(page(figures))
    print(f"docs/CAPACITY.md written from {len(figures)} figures")
    return 0


sys.exit(main())
