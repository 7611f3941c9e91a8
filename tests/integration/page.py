"""Keeps the results of the last run and writes and checks docs/PROOF.md."""

import json

from processes import ROOT

PAGE = ROOT / "docs/PROOF.md"
RESULTS = ROOT / "build/proof-results.json"
NOTES = ROOT / "tests/integration/not_proved.md"
NOT_RUN = "not run"
PROMISES = {
    "flow": "an established flow survives any planned change",
    "service": "a packet never reaches another service",
    "whole": "the whole answer to one's own request",
    "not-run": "what was refused as not run was not run",
    "once": "a non-idempotent request runs at most once",
    "leaving": "a leaving target gets no new work after 5 s",
    "stop": "a planned stop cuts no request in progress",
    "config": "a confirmed configuration is in force within seconds and never reverts",
}
HEAD = """# What always holds, and how it is proved

Written by `make proof-page` from a run of `make proof` and `make proof-off`; CI checks that the
rows are those of `tests/integration/cases.toml` and `switches.toml`. Every case runs real processes
on loopback. What held is judged from the records of callers and targets alone
(`tests/integration/records.py`); `tests/scripted/records.sh` shows that these checks notice each
broken promise. A result is *held in n of m runs*, counted over the last run.
"""


def key(name, seed):
    return f"{name}/{seed}"


def record(results, off):
    """Adds the results of a run to those kept in the build folder."""
    kept = load()
    table = kept.setdefault("off" if off else "on", {})
    for name, seed, _, _, _ in results:
        table[key(name, seed)] = [0, 0]
    for name, seed, passed, _, _ in results:
        counts = table[key(name, seed)]
        counts[0] += passed
        counts[1] += 1
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(kept, indent=1, sort_keys=True))


def load():
    return json.loads(RESULTS.read_text()) if RESULTS.exists() else {}


def result_text(table, name, case, word):
    counts = [table.get(key(name, seed), [0, 0]) for seed in case["seeds"]]
    runs = sum(c[1] for c in counts)
    if runs == 0:
        return NOT_RUN
    return f"{word} in {sum(c[0] for c in counts)} of {runs} runs"


def row(cells):
    return "| " + " | ".join(cells) + " |"


def case_cells(name, case):
    return [case["promise"], case["fault"], name, " ".join(str(s) for s in case["seeds"])]


def switch_cells(name, case, off):
    return [case["promise"], off["mechanism"], name, off["case"], off["broken"]]


def write(cases, switches):
    results = load()
    lines = [HEAD]
    lines += [row(["promise", "in full"]), "|---|---|"]
    lines += [row([name, text]) for name, text in PROMISES.items()]
    lines += ["", "## Faults", "", row(["promise", "fault", "case", "seeds", "result"]),
              "|---|---|---|---|---|"]
    for name, case in cases.items():
        lines.append(row([*case_cells(name, case),
                          result_text(results.get("on", {}), name, case, "held")]))
    lines += ["", "## The same with a mechanism switched off", "",
              "Built with `-DKQ_TEST_SWITCHES`, run by `make proof-off`. The case must fail, and by "
              "the count named.", "",
              row(["promise", "mechanism off", "run", "case", "count that must not be 0", "result"]),
              "|---|---|---|---|---|---|"]
    for name, off in switches.items():
        case = {**cases[off["case"]], **off}
        lines.append(row([*switch_cells(name, case, off),
                          result_text(results.get("off", {}), name, case, "failed as it must")]))
    lines += ["", NOTES.read_text().rstrip()]
    PAGE.write_text("\n".join(lines) + "\n")


def check(cases, switches):
    """Returns 0 when the page has a row for each case and switch and no others, with a result."""
    wanted = {tuple(case_cells(n, c)) for n, c in cases.items()}
    wanted |= {tuple(switch_cells(n, {**cases[o["case"]], **o}, o)) for n, o in switches.items()}
    found = set()
    for line in PAGE.read_text().splitlines():
        cells = [c.strip() for c in line.strip("|").split("|")]
        if len(cells) in (5, 6) and cells[0] in PROMISES:
            found.add(tuple(cells[:-1]))
            if not cells[-1]:
                found.add(("no result", *cells))
    for cells in sorted(wanted - found):
        print("missing in docs/PROOF.md:", *cells)
    for cells in sorted(found - wanted):
        print("not in the tables of cases:", *cells)
    if wanted == found:
        print("docs/PROOF.md has every case")
    return 0 if wanted == found else 1
