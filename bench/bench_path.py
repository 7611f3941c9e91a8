#!/usr/bin/env python3
"""Compares a balancer, and a balancer with an agent, with a minimal UDP relay in the same run.

Latency is the median round-trip time with one request in flight; the latency added by a path is its
round-trip time minus that of a direct connection to the target. The rate of a worker is the number
of answered requests per second of CPU time of the process, so that the load generator does not
limit it. The required results are in issue 3, item 8.
"""

import json
import os
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests/integration"))

from cluster import CONTROL_KEY, PORTS, Cluster, read_metrics  # noqa: E402
from processes import get, wait_for  # noqa: E402

SERVICE = "utleie"
SOURCE_PORT = 30000  # the same in all runs, so that the flows cached by a warm-up run are reused
ROUNDS = 3  # the median of this many measurements is reported
FLOW_COUNTS = (1_000, 10_000, 100_000, 500_000)
MAX_ADDED_RATIO = 2.0  # latency added by balancer and agent / by the relay
MAX_COST_RATIO = 1.5  # cost per request at 500,000 flows / at 1,000 flows
MAX_FLOW_BYTES = 128  # resident bytes per cached flow
MIN_NEW_FLOWS = 2_000  # "thousands of new flows a second"
TICKS = os.sysconf("SC_CLK_TCK")


def median(values):
    return sorted(values)[len(values) // 2]


def cpu_s(process):
    fields = pathlib.Path(f"/proc/{process.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def load(bench, to, flows, window, seconds=2, warm=True):
    """Runs the load generator; returns its summary and the elapsed time in seconds."""
    bench.loads = getattr(bench, "loads", 0) + 1
    name = f"load-{bench.loads}"
    started = time.monotonic()
    options = ["--to", to, "--service", SERVICE, "--flows", flows, "--window", window, "--seconds",
               seconds, "--port", SOURCE_PORT, "--summary",
               bench.folder / f"{name}.summary"]
    process = bench.start(name, "standin-load", *options, *(["--warm"] if warm else []))
    process.ended(120)
    return json.loads(process.summary_path.read_text()), time.monotonic() - started


def verdict(met):
    return "met" if met else "MISSED"


def start_path(bench):
    bench.start_store()
    bench.start_balancer(1, wait=False)
    bench.create_services([SERVICE])
    bench.start_target(SERVICE, 1, "--mean-ms", "0", "--slots", "200", "--limit", "250")
    bench.wait_serving()
    bench.wait_converged()
    target = f"{bench.ip(3, 1)}:5683"
    relay = f"{bench.ip(5, 1)}:7003"
    bench.standin("relay", "relay", "--listen", relay, "--upstream", target)
    return target, relay, f"{bench.ip(1, 1)}:{PORTS[SERVICE]}"


def whole_path():
    with Cluster() as bench:
        target, relay, balancer = start_path(bench)
        trips, rates = {}, {}
        for _ in range(ROUNDS):
            for name, to in (("direct", target), ("relay", relay), ("path", balancer)):
                trips.setdefault(name, []).append(load(bench, to, 100, 1)[0]["p50_us"])
        for name, to in (("direct", target), ("relay", relay), ("path", balancer)):
            rates[name] = load(bench, to, 100, 64)[0]["per_second"]
        direct, through, path = (median(trips[n]) for n in ("direct", "relay", "path"))
        print("whole path: load -> balancer -> agent -> target, one balancer with 2 workers")
        print(f"  median round trip: direct {direct} us, relay {through} us, path {path} us")
        added, bare = path - direct, max(through - direct, 1)
        print(f"  added: relay {bare} us, balancer and agent {added} us, ratio {added / bare:.2f}"
              f" (target: at most {MAX_ADDED_RATIO}: {verdict(added / bare <= MAX_ADDED_RATIO)})")
        print("  answers a second, 64 in flight: "
              + ", ".join(f"{n} {r:.0f}" for n, r in rates.items())
              + f"; path / relay {rates['path'] / rates['relay']:.2f}")
        return cost(bench, bench.processes["relay"], relay, 100)


def cost(bench, process, to, flows, warm=True):
    """Returns the CPU time of @process per request and answer, in microseconds."""
    if warm:
        load(bench, to, flows, 64, seconds=1)
    before = cpu_s(process)
    summary, _ = load(bench, to, flows, 64, seconds=3, warm=False)
    return (cpu_s(process) - before) * 1e6 / max(summary["answered"], 1)


def one_balancer(relay_cost):
    with Cluster() as bench:
        bench.start_store()
        bench.start_balancer(1, wait=False, workers=1)
        bench.create_services([SERVICE])
        agent = bench.start("agent", "standin-agent", "--data", f"{bench.ip(2, 1)}:6000",
                            "--control", f"{bench.ip(2, 1)}:6100", "--seed",
                            f"{bench.ip(1, 1)}:6100", "--key", CONTROL_KEY, "--service", SERVICE)
        agent.wait_log("ready serving")
        bench.wait_ready("balancer-1")
        balancer = bench.processes["balancer-1"]
        to = f"{bench.ip(1, 1)}:{PORTS[SERVICE]}"
        wait_for("an answer", lambda: load(bench, to, 1, 1, 1, False)[0]["answered"], 20)
        print("one balancer with 1 worker, answered by a stand-in of an agent")
        costs = {}
        for flows in FLOW_COUNTS:
            took = load(bench, to, flows, 64, seconds=1)[1]
            costs[flows] = cost(bench, balancer, to, flows, warm=False)
            metrics = read_metrics(get(bench.http("balancer-1") + "/metrics")[1])
            entries = metrics["kumquat_flow_table_entries"]
            resident = metrics["kumquat_flow_table_resident_bytes"] / max(entries, 1)
            print(f"  {flows:7d} flows: {costs[flows]:6.2f} us a request and answer, "
                  f"{1e6 / costs[flows]:7.0f}/s a worker, {entries:.0f} cached, "
                  f"{resident:.0f} bytes a flow, {flows / max(took - 1, 0.001):.0f} new flows/s")
        print(f"  bare relay: {relay_cost:.2f} us; balancer / relay "
              f"{costs[FLOW_COUNTS[0]] / relay_cost:.2f}")
        flat = costs[FLOW_COUNTS[-1]] / costs[FLOW_COUNTS[0]]
        print(f"  cost at 500,000 / 1,000 flows: {flat:.2f} (target: at most {MAX_COST_RATIO}: "
              f"{verdict(flat <= MAX_COST_RATIO)})")
        print(f"  resident bytes a flow at 500,000: {resident:.0f} (target: at most {MAX_FLOW_BYTES}: "
              f"{verdict(resident <= MAX_FLOW_BYTES)})")
        new = FLOW_COUNTS[-1] / max(took - 1, 0.001)
        print(f"  new flows a second: {new:.0f} (target: at least {MIN_NEW_FLOWS}: "
              f"{verdict(new >= MIN_NEW_FLOWS)})")


def main():
    one_balancer(whole_path())
    return 0


sys.exit(main())
