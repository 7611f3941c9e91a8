"""Checks the promises from the records of callers and targets alone.

Nothing here asks the system: a promise is judged by what the callers were told and what the
targets ran, each in its own journal (see standins/target.c and standins/caller.c).
"""

import collections
import dataclasses
import json

TARGET_KEYS = ("busy_us", "cut", "operations", "shed")  # of targets, all others of callers
LEAVING_GRACE_US = 5_000_000  # a leaving target may get new flows for so long


@dataclasses.dataclass
class Verdict:
    """Counts that must be 0; 'unanswered' and 'lost' belong to whole answers."""
    run_twice: int = 0
    refused_but_run: int = 0
    answered_not_run: int = 0
    wrong_service: int = 0
    half_or_crossed: int = 0
    unanswered: int = 0
    flows_broken: int = 0
    cut: int = 0
    late_to_leaving: int = 0
    details: list = dataclasses.field(default_factory=list)

    def counts(self):
        values = dataclasses.asdict(self)
        del values["details"]
        return values


def read_journal(path):
    """Yields (time_us, event, words) of one journal."""
    if not path.exists():
        return
    for line in path.read_text().splitlines():
        words = line.split()
        if len(words) >= 2:
            yield int(words[0]), words[1], words[2:]


def check(folder, left=None, excused=()):
    """Returns the Verdict over all journals and summaries in a folder.

    left: name of a target -> monotonic time in microseconds at which it was told to leave.
    excused: names of targets whose flows may break, because the test killed them.
    """
    left = left or {}
    verdict = Verdict()
    runs = collections.Counter()
    done = collections.Counter()
    outcomes = {}
    for path in sorted(folder.glob("*.journal")):
        for when, event, words in read_journal(path):
            if event == "run":
                runs[words[0]] += 1
            elif event == "done":
                done[words[0]] += 1
            elif event in ("answered", "refused", "unknown", "unanswered"):
                outcomes[words[0]] = event
            elif event == "flow" and path.stem in left:
                if when > left[path.stem] + LEAVING_GRACE_US:
                    verdict.late_to_leaving += 1
                    verdict.details.append(f"{path.stem} got flow {words[0]} after it left")
            elif event == "broken" and words[-1] not in excused:
                verdict.flows_broken += 1
                verdict.details.append("broken " + " ".join(words))
            elif event in ("wrong", "half", "crossed"):
                verdict.details.append(f"{path.stem} {event} {' '.join(words)}")
    _check_operations(verdict, runs, outcomes)
    _check_summaries(verdict, folder, excused)
    verdict.cut += sum((runs - done).values()) if not excused else 0
    return verdict


def _check_operations(verdict, runs, outcomes):
    for operation, count in runs.items():
        if count > 1:
            verdict.run_twice += 1
            verdict.details.append(f"{operation} ran {count} times")
    for operation, outcome in outcomes.items():
        if outcome == "refused" and runs[operation] > 0:
            verdict.refused_but_run += 1
            verdict.details.append(f"{operation} was refused and ran")
        if outcome == "answered" and runs[operation] == 0:
            verdict.answered_not_run += 1
            verdict.details.append(f"{operation} was answered and did not run")


def _check_summaries(verdict, folder, excused):
    for summary in read_summaries(folder):
        verdict.wrong_service += summary.get("wrong_service", 0)
        verdict.half_or_crossed += summary.get("half", 0) + summary.get("crossed", 0)
        verdict.unanswered += summary.get("unanswered", 0) if not excused else 0


def read_summaries(folder):
    return [json.loads(path.read_text()) for path in sorted(folder.glob("*.summary"))]


def total(folder, service, key):
    """Sums one number over the summaries of a service's callers or targets."""
    return sum(s.get(key, 0) for s in read_summaries(folder)
               if s.get("service") == service and ("whole" in s) != (key in TARGET_KEYS))
