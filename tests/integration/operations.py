#!/usr/bin/env python3
"""Plays the page docs/OPERATIONS.md: brings about a refusal, a lost stream and a slow target over real
processes, and looks for their lines with the page's own patterns and field names."""

import asyncio
import pathlib
import re
import subprocess
import sys

from processes import BIN
from stream_world import READY_PORT, World

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs/OPERATIONS.md"


def logs(world, kind):
    return "\n".join(p.log() for n, p in world.processes.items() if n.startswith(kind))


def fields_of(text, event):
    """Returns the field names of the first line of an event, or none."""
    line = next((l.strip() for l in text.splitlines() if f"event={event} " in l), "")
    return set(re.findall(r"(?:^| )([a-z_]+)=", line))


def page_fields(event):
    """Returns the field names of an event's line in the page's transcripts."""
    return fields_of(PAGE.read_text(encoding="utf-8"), event)


def streams_status(world):
    """Runs the page's command against all processes, and against an address where none is."""
    addresses = [*world.balancers.values(), *(a[0] for a in world.agents.values())]
    command = [BIN / "kumquatctl", "streams", *(f"{ip}:{READY_PORT}" for ip in addresses),
               f"{world.ip(9, 9)}:{READY_PORT}"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    text = re.sub(r"127\.[0-9.]+:[0-9]+", "ADDRESS", done.stdout + done.stderr)
    text = re.sub(r"(request|streams|refused|lost) [0-9]+", r"\1 N", text)
    return f"{text}exit {done.returncode}"


async def refuse_and_lose(world):
    """One target only, which crashes: open flows are lost, new ones are refused."""
    flows = [world.callers[1].flow() for _ in range(3)]
    for flow in flows:
        await flow.open()
    for name, (_, service) in world.agents.items():
        if service == "scores":
            world.targets[name].crash()
    for i, flow in enumerate(flows):
        await flow.ask(f"lost{i}", ["scores"], 2000, 1.5)
    await world.ask(world.callers[1])


async def play():
    with World(seed=9, targets=(("scores", 2), ("files", 1))) as world:
        await world.run_all()
        for _ in range(10):
            await world.ask(world.callers[1])
        await refuse_and_lose(world)
        await asyncio.sleep(1.2)  # a summary is written each second
        status = streams_status(world)
        balancers, agents = logs(world, "balancer"), logs(world, "agent")
    print(status)
    wrong = 0
    for event, text in (("stream-refused", balancers), ("stream-lost", balancers),
                        ("target-summary", agents), ("streams-summary", balancers)):
        missing = page_fields(event) - fields_of(text, event)
        found = bool(fields_of(text, event))
        print(f"{event}: {'found' if found else 'no line'}, {len(missing)} fields of the page missing")
        wrong += bool(missing) or not found
    named = set(re.findall(r"event=([a-z-]+)", PAGE.read_text(encoding="utf-8")))
    reference = (PAGE.parent / "reference/events.md").read_text(encoding="utf-8")
    unknown = sorted(e for e in named if f"| `{e}` |" not in reference)
    print(f"events of the page that the reference lacks: {unknown or 'none'}")
    return 1 if wrong or unknown else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(play()))
