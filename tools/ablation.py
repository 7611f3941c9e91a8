#!/usr/bin/env python3
"""Switches off one mechanism at a time in a copy and plays days of the users' bench.

usage: ablation.py --bench PROGRAM --sites DIR --out DIR [--only NAME,...] [--workers N]

Each entry of MECHANISMS replaces text in one file of a copy of this repository; the copy is built and played by the
bench. Prints one line a mechanism and day: the worth, and the difference to the copy without a change.
"""

import argparse
import concurrent.futures
import os
import re
import shutil
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# name -> list of (file, text, replacement)
MECHANISMS = {
    "none": [],
    "choice by load": [("src/connection/stream_targets.c", "  return service + queued * service / slots + "
                        "running * service / slots / 4 + penalty_us;",
                        "  (void)service;\n  (void)queued;\n  return penalty_us;")],
    "preference for the own domain": [("src/connection/stream_targets.c", "#define REMOTE_PENALTY_US (20 * KQ_MS)",
                                       "#define REMOTE_PENALTY_US (0 * KQ_MS)")],
    "offers before queueing": [("src/connection/stream_offer.c", "#define OFFERS_WITHOUT_QUEUEING 3",
                                "#define OFFERS_WITHOUT_QUEUEING 1")],
    "order of the queue": [("src/request/admission.c", "  bool a_in_time = can_meet_objective (admission, a, now);",
                            "  if (a != NULL)\n    return a->arrived_at < b->arrived_at;\n"
                            "  bool a_in_time = can_meet_objective (admission, a, now);")],
    "priority in the queue": [("src/request/admission.c", "  if (a->need.priority != b->need.priority)",
                               "  if (false && a->need.priority != b->need.priority)")],
    "refusal at once": [("src/request/admission.c", "  return now + wait <= latest_start (admission, entry);",
                         "  return wait >= 0 && latest_start (admission, entry) >= 0;")],
    "extra streams": [("src/request/admission.c",
                       "  unsigned ahead = (admission->slots + SLOTS_PER_EXTRA_STREAM - 1) / SLOTS_PER_EXTRA_STREAM;",
                       "  unsigned ahead = 0 / SLOTS_PER_EXTRA_STREAM;")],
    "idle slots": [("src/connection/stream_table.c", "#define REQUEST_WAIT_US (60 * KQ_MS)",
                    "#define REQUEST_WAIT_US (3000 * KQ_MS)")],
    "failing targets": [("src/connection/stream_targets.c", "#define FAILING_PENALTY_US (500 * KQ_MS)",
                         "#define FAILING_PENALTY_US (0 * KQ_MS)")],
    "backoff": [("src/connection/stream_targets.c", "#define BACKOFF_US (500 * KQ_MS)",
                 "#define BACKOFF_US (0 * KQ_MS)")],
    "panic mode": [("src/connection/stream_targets.c", "if (!service_means->panic_mode && looks_failing",
                    "if (looks_failing")],
    "search budget": [("include/kumquat/internal/search_budget.h", "#define KQ_SEARCHES_INITIAL",
                       "#define KQ_SEARCHES_INITIAL 100000 // ")],
    "resets of orphaned streams": [("src/connection/stream_search.c", "  bool notify = certain &&",
                                    "  bool notify = false && certain &&")],
    "wait of readiness checks": [("src/process/stream_balancer.c", "#define READY_WAIT_US (400 * KQ_MS)",
                                  "#define READY_WAIT_US (1 * KQ_MS)")],
    "few watchers": [("src/process/stream_balancer.c", "(kq_control_is_watcher (balancer->control) ||",
                      "(true || kq_control_is_watcher (balancer->control) ||")],
    "periodic read": [("src/process/stream_balancer.c", "#define REFRESHES_PER_READ     8",
                       "#define REFRESHES_PER_READ 1000000")],
    "wait for a first target": [("src/connection/stream_offer.c", "#define TARGET_START_US (1200 * KQ_MS)",
                                 "#define TARGET_START_US (1 * KQ_MS)")],
    "age of copies": [("src/connection/stream_router.c", "stream->first_at = now - segment->opening_age_us;",
                       "stream->first_at = now;")],
    "outdated datagrams": [("include/kumquat/internal/pause_monitor.h", "#define KQ_PAUSE_MIN_US (500 * KQ_MS)",
                            "#define KQ_PAUSE_MIN_US (500000 * KQ_MS)")],
}

# site file below --sites, day
DAYS = [
    ("further/fstra-entries", "trouble-1"), ("further/fstra-entries", "scale-1"),
    ("further/fstra-entries", "trouble-2"), ("further/fstra-entries", "scale-2"),
    ("further/fstra-entries", "trouble-3"),
    ("further-grown/fstra-entries-grown", "trouble-1"), ("further-grown/fstra-entries-grown", "scale-1"),
    ("further-grown/fstra-entries-grown", "trouble-2"), ("further-grown/fstra-entries-grown", "scale-2"),
    ("further-grown/fstra-entries-grown", "trouble-3"),
    ("sites/klapp-drift", "trouble-1"), ("sites/klapp-drift", "trouble-2"), ("sites/klapp-drift", "scale-2"),
    ("sites/tibeb-arena", "trouble-1"), ("sites/tibeb-arena", "trouble-2"), ("sites/tibeb-arena", "scale-2"),
    ("demands/integra-bog-grown", "trouble-1"),
]


def make_copy(name, folder):
    """Copies the files that git tracks and replaces the mechanism's text; exits if the text is gone."""
    copy = os.path.join(folder, re.sub(r"\W+", "-", name))
    shutil.rmtree(copy, ignore_errors=True)
    subprocess.run(["git", "clone", "-q", "--shared", ROOT, copy], check=True)
    for file, text, replacement in MECHANISMS[name]:
        path = os.path.join(copy, file)
        with open(path, encoding="utf-8") as source:
            before = source.read()
        if text not in before:
            sys.exit(f"{name}: {file} lacks the text {text!r}; bring MECHANISMS in line with the code")
        with open(path, "w", encoding="utf-8") as target:
            target.write(before.replace(text, replacement, 1))
    return copy


def play(options, name, copy):
    """Plays all days in one copy; returns {day: (worth, broken rules)}."""
    worths = {}
    for site, day in DAYS:
        command = [options.bench, "run", os.path.join(options.sites, site + ".toml"), day,
                   "--why", f"trial, ablation: without {name}"]
        done = subprocess.run(command, cwd=copy, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
                              stderr=subprocess.STDOUT, check=False, text=True)
        row = re.search(rf"^{day} +\d+/\d+ +\S+ +(-?[\d.]+) .*$", done.stdout, re.M)
        broken = re.search(r"BROKEN: (.*) \(", done.stdout)
        worths[(site, day)] = (float(row.group(1)) if row else None, broken.group(1) if broken else "")
    return worths


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bench", required=True)
    parser.add_argument("--sites", required=True)
    parser.add_argument("--out", required=True)
    parser.add_argument("--only", default="")
    parser.add_argument("--workers", type=int, default=2)
    options = parser.parse_args()
    os.makedirs(options.out, exist_ok=True)
    names = [n for n in MECHANISMS if not options.only or n in options.only.split(",") or n == "none"]
    copies = {name: make_copy(name, options.out) for name in names}
    with concurrent.futures.ThreadPoolExecutor(options.workers) as pool:
        runs = {name: pool.submit(play, options, name, copies[name]) for name in names}
        base = runs["none"].result()
        for name in names:
            for (site, day), (worth, broken) in runs[name].result().items():
                before = base[(site, day)][0]
                change = "-" if worth is None or before is None else f"{worth - before:+.3f}"
                print(f"{name}\t{os.path.basename(site)}\t{day}\t{worth}\t{change}\t{broken}", flush=True)


if __name__ == "__main__":
    main()
