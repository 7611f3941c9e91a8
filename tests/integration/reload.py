#!/usr/bin/env python3
"""Rotates the keys of control traffic and of Echo values in running daemons by SIGHUP."""

import signal

from cluster import CONTROL_KEY, ECHO_KEY, Cluster
from processes import wait_for

NEW_KEY = "abcdef0123456789" * 4


def change(cluster, name, old, new):
    path = cluster.folder / f"{name}.toml"
    path.write_text(path.read_text().replace(old, new))


def reload(cluster, name, event):
    """Sends SIGHUP and waits for one more line of @event."""
    process = cluster.processes[name]
    seen = process.log().count(event)
    process.signal(signal.SIGHUP)
    wait_for(f"{event} of {name}", lambda: process.log().count(event) > seen, 10)


def rotate(cluster, names):
    """First everyone accepts both keys, then everyone sends with the new one, then it is alone."""
    for old, new in ((f'key = "{CONTROL_KEY}"', f'key = "{CONTROL_KEY}"\nold_key = "{NEW_KEY}"'),
                     (f'key = "{CONTROL_KEY}"\nold_key = "{NEW_KEY}"',
                      f'key = "{NEW_KEY}"\nold_key = "{CONTROL_KEY}"'),
                     (f'\nold_key = "{CONTROL_KEY}"', "")):
        for name in names:
            change(cluster, name, old, new)
            reload(cluster, name, "event=settings-reloaded")


def main():
    with Cluster(seed=1) as cluster:
        cluster.start_store()
        for number in (1, 2):
            cluster.start_balancer(number, wait=False)
        cluster.create_services(["scoring"])
        for index in (1, 2):
            cluster.start_target("scoring", index)
        cluster.wait_serving()
        cluster.wait_converged()
        cluster.start_fabric(services=("scoring",))
        caller = cluster.start_caller("scoring", "--flows", 8, "--feeds", 4, "--think-ms", 20)
        names = cluster.running()
        rotate(cluster, names)
        cluster.control["key"] = NEW_KEY
        cluster.start_target("scoring", 3)
        cluster.wait_ready("scoring-3")
        cluster.wait_converged()
        print("an agent that has only the new key joined")
        for name in ("scoring-1", "scoring-2"):
            change(cluster, name, f'[echo]\nkey = "{ECHO_KEY}"', f'[echo]\nkey = "{NEW_KEY}"')
            reload(cluster, name, "event=settings-reloaded")
        change(cluster, "scoring-1", 'service = "scoring"', 'service = "scoring"\nweight = 7')
        reload(cluster, "scoring-1", "event=settings-need-restart")
        print("a changed weight needs a restart")
        change(cluster, "scoring-1", "weight = 7", "weight = 0")
        reload(cluster, "scoring-1", "event=settings-refused")
        print("a weight out of range is refused and the agent runs on")
        cluster.end_callers()
        summary = caller.summary()
        print("answered:", summary["whole"] > 0, "broken flows:", summary["flows_broken"],
              "unknown:", summary["unknown"])


main()
