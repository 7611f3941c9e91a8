#!/usr/bin/env python3
"""Plans, confirms and follows a drain with kumquatctl against real balancers and agents."""

import json
import os
import subprocess
import sys
import time

from cluster import OPERATOR_KEY, Cluster
from processes import BIN, Failure, wait_for

IN_FORCE_S = 2  # today's fleet


def ctl(cluster, *arguments, expected=0):
    """Runs kumquatctl against balancer 1; returns its output."""
    environment = {**os.environ, "KUMQUAT_SERVER": f"{cluster.ip(1, 1)}:6200",
                   "KUMQUAT_KEY": OPERATOR_KEY}
    done = subprocess.run([BIN / "kumquatctl", *arguments], cwd=cluster.folder, env=environment,
                          capture_output=True, text=True, timeout=60, check=False)
    if done.returncode != expected:
        raise Failure(f"kumquatctl {arguments}: {done.returncode} {done.stdout} {done.stderr}")
    return done.stdout


def targets(cluster):
    status = json.loads(ctl(cluster, "status", "--json"))
    service = next(s for s in status["services"] if s["name"] == "scoring")
    return {t["name"]: t for t in service["targets"]}


def confirm(cluster, *intent):
    """Plans and confirms; returns the seconds until it is in force everywhere."""
    ctl(cluster, "plan", *intent, "--out", "change.plan")
    start = time.monotonic()
    print("confirm", *intent, "->", ctl(cluster, "confirm", "change.plan").split(":")[0])
    ctl(cluster, "watch", "change.plan", "--timeout", "20")
    return time.monotonic() - start


def main():
    with Cluster(seed=1) as cluster:
        cluster.start_store()
        for number in (1, 2, 3):
            cluster.start_balancer(number, wait=False)
        wait_for("operators' interface",
                 lambda: ctl_ready(cluster), 15)
        seconds = [confirm(cluster, "create", "scoring", "port=7001", "worth.mark=10")]
        for index in (1, 2, 3, 4):
            cluster.start_target("scoring", index)
        cluster.wait_serving()
        wait_for("four serving targets", lambda: sum(
            t["admits"] for t in targets(cluster).values()) == 4, 15)
        cluster.start_fabric(services=("scoring",))
        cluster.start_caller("scoring", "--flows", 8, "--think-ms", 50)
        wait_for("flows", lambda: sum(t["flows"] or 0 for t in targets(cluster).values()) >= 4, 15)
        seconds.append(confirm(cluster, "drain", "scoring", "scoring-2", "60000"))
        print("scoring-2", targets(cluster)["scoring-2"]["why"])
        ctl(cluster, "plan", "remove", "scoring", expected=3)
        print("removing it is refused")
        seconds.append(confirm(cluster, "undo", "scoring"))
        wait_for("scoring-2 to join", lambda: targets(cluster)["scoring-2"]["admits"], 5)
        print("scoring-2", targets(cluster)["scoring-2"]["why"])

        def answered():
            report = json.loads(ctl(cluster, "report", "--json"))
            return report["services"][0]["answered"] > 0 and not report["silent_agents"]
        wait_for("answered requests in the report", answered, 15)
        cluster.store_fault("snapshot")
        seconds.append(confirm(cluster, "worth", "scoring", "mark", "20"))
        cluster.store_fault("restore")
        seconds.append(confirm(cluster, "restore", "scoring"))
        service = json.loads(ctl(cluster, "services", "--json"))["services"][0]
        print("after the store was restored: epoch", service["epoch"], "worth", service["worth"])
        print("the report counts answered requests of every agent")
        busiest = max(targets(cluster).values(), key=lambda t: t["flows"] or 0)["name"]
        ctl(cluster, "plan", "drain", "scoring", busiest, "4000", "--out", "limited.plan")
        ctl(cluster, "confirm", "limited.plan")
        cluster.processes[busiest].wait_log("event=drain-limit-reached")
        print("a drain with a limit closed the flows that were left")
        print("in force within", IN_FORCE_S, "s:", all(s <= IN_FORCE_S for s in seconds))
        print(f"in force after {max(seconds):.2f} s at most", file=sys.stderr)
        cluster.end_callers()


def ctl_ready(cluster):
    try:
        return ctl(cluster, "status") != ""
    except Failure:
        return False


main()
