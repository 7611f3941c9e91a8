#!/usr/bin/env python3
"""Runs the fault cases of cases.toml over real processes, prints a line a case and the counts.

    proof.py                 all cases with all their seeds
    proof.py --quick         those that make check runs
    proof.py --off           the same promises with their mechanism switched off: must fail
    proof.py --write-page    writes docs/PROOF.md from the results of the last runs
    proof.py --check-page    checks that docs/PROOF.md has the cases of cases.toml and no others
    proof.py NAME...         cases whose name contains one of these
"""

import argparse
import concurrent.futures
import os
import pathlib
import sys
import time
import tomllib

import page
import scenario
from processes import ROOT, Failure

AT_ONCE = 4
FOLDER = pathlib.Path(__file__).parent


def read_table(name):
    with open(FOLDER / name, "rb") as file:
        return tomllib.load(file)


def run_one(name, case, seed):
    """Runs one case with one seed; returns (name, seed, passed, text, seconds)."""
    begun = time.monotonic()
    try:
        outcome = scenario.run(case, seed)
    except (Failure, OSError) as failure:
        return name, seed, False, f"could not run: {failure}", time.monotonic() - begun
    wanted = case.get("broken")
    if wanted is None:
        passed = not outcome.seen
    else:
        passed = outcome.seen.get(wanted, 0) > 0
    text = "held" if not outcome.seen else " ".join(f"{k}={v}" for k, v in outcome.seen.items())
    if not passed:
        text += "".join(f"\n    {line}" for line in outcome.details)
    return name, seed, passed, text, outcome.seconds


def run_all(rows, repeat):
    results = []
    jobs = [(name, case, seed) for name, case in rows for seed in case["seeds"]] * repeat
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        for result in pool.map(lambda job: run_one(*job), jobs):
            name, seed, passed, text, seconds = result
            print(f"{'ok' if passed else 'FAILED':6} {name} seed={seed} ({seconds:.1f} s) {text}",
                  flush=True)
            results.append(result)
    return results


def switched_off():
    """Returns the rows of switches.toml merged over the cases that they name."""
    cases = read_table("cases.toml")
    rows = []
    for name, row in read_table("switches.toml").items():
        case = {**cases[row["case"]], **row}
        case["environment"] = {"KQ_TEST_DISABLE": row["mechanism"]}
        rows.append((name, case))
    return rows


def parse():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("names", nargs="*", help="cases whose name contains one of these")
    parser.add_argument("--quick", action="store_true", help="only the cases marked quick")
    parser.add_argument("--off", action="store_true", help="with mechanisms switched off")
    parser.add_argument("--repeat", type=int, default=1, help="runs of each case and seed")
    parser.add_argument("--write-page", action="store_true", help="write docs/PROOF.md only")
    parser.add_argument("--check-page", action="store_true", help="compare docs/PROOF.md only")
    return parser.parse_args()


def main():
    options = parse()
    if options.check_page:
        return page.check(read_table("cases.toml"), read_table("switches.toml"))
    if options.write_page:
        page.write(read_table("cases.toml"), read_table("switches.toml"))
        return 0
    rows = switched_off() if options.off else list(read_table("cases.toml").items())
    rows = [(n, c) for n, c in rows if not options.quick or c.get("quick")]
    rows = [(n, c) for n, c in rows if not options.names or any(w in n for w in options.names)]
    if options.quick:
        rows = [(n, {**c, "seeds": c["seeds"][:1]}) for n, c in rows]
    results = run_all(rows, options.repeat)
    page.record(results, options.off)
    passed = sum(1 for r in results if r[2])
    print(f"{passed} passed, {len(results) - passed} failed")
    return 0 if passed == len(results) and results else 1


if __name__ == "__main__":
    os.chdir(ROOT)
    sys.exit(main())
