#!/usr/bin/env python3
"""Runs both users' services for some seconds through planned and unplanned changes.

Starts the store, three balancers, 21 targets with an agent each and callers behind a fabric that
loses, repeats and reorders datagrams. While traffic runs it drains a target, adds one, kills a
balancer and changes the configuration by plan and confirm. What callers and targets recorded
decides the exit status; the system's own counters do not.
"""

import argparse
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests/integration"))

import records  # noqa: E402
from cluster import Cluster  # noqa: E402
from processes import Failure  # noqa: E402

TARGETS = {"scoring": 7, "media": 4, "utleie": 7, "dokument": 3}
CALLERS = {"scoring": ["--flows", 50, "--feeds", 20, "--think-ms", 60, "--life-ms", 8000],
           "media": ["--flows", 20, "--think-ms", 30, "--life-ms", 12000],
           "utleie": ["--flows", 50, "--think-ms", 60, "--life-ms", 6000],
           "dokument": ["--flows", 15, "--think-ms", 30, "--life-ms", 12000]}
FAULTS = ["--loss", "0.01", "--duplicate", "0.01", "--reorder", "0.05"]
TRAFFIC_S = 16
DRAINED = "scoring-3"
ADDED = 8
COLUMNS = [("sent", "requests"), ("whole", "whole"), ("refused", "refused"),
           ("unknown", "unknown"), ("silent", "unanswered")]


class Clock:
    """Prints what happens with the seconds since the start."""

    def __init__(self):
        self.start = time.monotonic()

    def say(self, text):
        print(f"{time.monotonic() - self.start:5.1f} s  {text}", flush=True)


def start(cluster, clock):
    cluster.start_store()
    for number in (1, 2, 3):
        cluster.start_balancer(number, wait=False)
    cluster.create_services(TARGETS)
    for service, count in TARGETS.items():
        for index in range(1, count + 1):
            cluster.start_target(service, index)
    cluster.wait_serving()
    cluster.wait_converged()
    clock.say(f"3 balancers and {sum(TARGETS.values())} targets are ready")


def change(cluster, clock, left):
    """Makes all changes, spread over the traffic."""
    begun = time.monotonic()

    def at(seconds):
        time.sleep(max(0, begun + seconds - time.monotonic()))

    at(2)
    left[DRAINED] = int(time.monotonic() * 1e6)
    cluster.confirm("drain", "scoring", DRAINED)
    clock.say(f"confirmed: drain {DRAINED}")
    at(5)
    cluster.start_target("scoring", ADDED, "--cold-ms", "500")
    cluster.wait_ready(f"scoring-{ADDED}")
    clock.say(f"scoring-{ADDED} joined")
    at(8)
    cluster.processes["balancer-3"].kill()
    cluster.balancers.remove(3)
    clock.say("killed balancer-3")
    time.sleep(0.5)
    cluster.processes["fabric"].line(f"remove {cluster.ip(1, 3)}")
    at(11)
    cluster.confirm("change", "utleie", "slots=6")
    clock.say("confirmed: utleie has 6 slots")
    at(TRAFFIC_S)


def imbalance(folder, service):
    """Returns by how much the busiest target exceeds the mean, in percent."""
    busy = [s["busy_us"] for s in records.read_summaries(folder)
            if s.get("service") == service and "busy_us" in s
            and s["name"] not in (DRAINED, f"scoring-{ADDED}")]
    mean = sum(busy) / len(busy)
    return 100 * (max(busy) / mean - 1) if mean > 0 else 0


def print_table(folder, verdict):
    names = [title for title, _ in COLUMNS]
    heads = ["service", *names, "twice", "wrong", "half", "opened", "kept", "broken", "imbalance"]
    print(" ".join(f"{h:>9}" for h in heads))
    for service in TARGETS:
        def count(key, service=service):
            return records.total(folder, service, key)
        twice = sum(1 for d in verdict.details if " times" in d
                    and d.startswith(CALLER_NAMES[service] + "."))
        row = [service, *(count(key) for _, key in COLUMNS), twice, count("wrong_service"),
               count("half") + count("crossed"), count("flows_opened"), count("flows_kept"),
               count("flows_broken"), f"{imbalance(folder, service):.0f}%"]
        print(" ".join(f"{v!s:>9}" for v in row))


CALLER_NAMES = {}


def run(seed):
    clock = Clock()
    left = {}
    with Cluster(seed) as cluster:
        start(cluster, clock)
        cluster.start_fabric(*FAULTS)
        for service, options in CALLERS.items():
            process = cluster.start_caller(service, "--seconds", TRAFFIC_S + 10, *options)
            CALLER_NAMES[service] = process.name
        clock.say("traffic runs, with 1% loss, 1% duplicates, 5% reordered")
        change(cluster, clock, left)
        cluster.end_callers()
        clock.say("traffic ended")
        cluster.end_targets()
        verdict = records.check(cluster.folder, left)
        print_table(cluster.folder, verdict)
        for line in verdict.details[:20]:
            print("seen:", line)
    clock.say("all processes ended")
    bad = {name: count for name, count in verdict.counts().items() if count}
    print("every promise held" if not bad else f"broken promises: {bad}")
    return 1 if bad else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    try:
        return run(parser.parse_args().seed)
    except Failure as failure:
        print(f"failed: {failure}")
        return 1


sys.exit(main())
