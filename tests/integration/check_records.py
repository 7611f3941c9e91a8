"""Shows that the checkers see each broken promise: stand-ins wired without the system between them.

A plain relay keeps no promise. Each case breaks one of them and must be noticed; the first case
breaks none and must pass.
"""

import sys
import time

import records
from processes import Bench, wait_for

SCORING, MEDIA = 7001, 7002


def wire(bench, *, fabric=(), targets=(("scoring", ()),), port=SCORING, service="scoring",
         caller=()):
    """Starts targets behind one relay each, a fabric over the relays, and callers."""
    balancers = []
    for number, (kind, options) in enumerate(targets, 1):
        address = f"{bench.ip(3, number)}:5683"
        name = f"{kind}-{number}"
        bench.standin(f"target-{name}", "target", "--listen", address, "--service", kind, "--name",
                      name, "--journal", bench.folder / f"{name}.journal", *options)
        bench.standin(f"relay-{number}", "relay", "--listen", f"{bench.ip(1, number)}:{port}",
                      "--upstream", address)
        balancers += ["--balancer", bench.ip(1, number)]
    bench.standin("fabric", "fabric", "--ip", bench.ip(0, 10), "--service", port, "--control",
                  *balancers, *fabric)
    return bench.standin("c1", "caller", "--fabric", f"{bench.ip(0, 10)}:{port}", "--ip",
                         bench.ip(9, 1), "--name", "c1", "--service", service, "--journal",
                         bench.folder / "c1.journal", "--flows", 20, "--seconds", 1,
                         "--deadline-ms", 1500, *caller)


def finish(bench, left=None):
    bench.processes["c1"].ended(20)
    for name, process in bench.processes.items():
        if name != "c1":
            process.terminate()
            process.ended(10)
    return records.check(bench.folder, left)


def healthy(bench):
    wire(bench, caller=["--feeds", 5])
    return finish(bench)


def duplicates(bench):
    wire(bench, fabric=["--duplicate", "0.2"])
    return finish(bench)


def wrong_target(bench):
    wire(bench, targets=[("media", ())])
    return finish(bench)


def two_targets(bench):
    wire(bench, targets=[("scoring", ()), ("scoring", ())], caller=["--feeds", 5])
    return finish(bench)


def half_answers(bench):
    wire(bench, targets=[("media", ["--misbehave", "half"])], port=MEDIA, service="media")
    return finish(bench)


def false_refusals(bench):
    wire(bench, targets=[("scoring", ["--misbehave", "refuse"])], caller=["--budget", 0])
    return finish(bench)


def lost_answers(bench):
    wire(bench)
    wait_for("marks", lambda: " answered " in (bench.folder / "c1.journal").read_text(), 10)
    bench.processes["fabric"].line("cut 1")
    return finish(bench)


def stopped_target(bench):
    wire(bench, targets=[("scoring", ["--mean-ms", "200"])])
    wait_for("marks", lambda: " run " in (bench.folder / "scoring-1.journal").read_text(), 10)
    bench.processes["target-scoring-1"].terminate()
    return finish(bench)


def leaving_target(bench):
    long_ago = int(time.monotonic() * 1e6) - 2 * records.LEAVING_GRACE_US
    wire(bench)
    return finish(bench, {"scoring-1": long_ago})


CASES = [(healthy, None), (duplicates, "run_twice"), (wrong_target, "wrong_service"),
         (two_targets, "flows_broken"), (half_answers, "half_or_crossed"),
         (false_refusals, "refused_but_run"), (lost_answers, "unanswered"),
         (stopped_target, "cut"), (leaving_target, "late_to_leaving")]


def main():
    failed = False
    for case, wanted in CASES:
        with Bench() as bench:
            verdict = case(bench)
            seen = {name: count for name, count in verdict.counts().items() if count > 0}
        good = not seen if wanted is None else wanted in seen
        failed |= not good
        print(f"{case.__name__}: {'seen' if wanted else 'clean'} {wanted or ''}".rstrip()
              if good else f"{case.__name__}: wanted {wanted}, seen {seen}", flush=True)
        if not good:
            print("\n".join(verdict.details[:20]), file=sys.stderr)
    return 1 if failed else 0


sys.exit(main())
