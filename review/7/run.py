"""A heartbeat of another writer, with fields missing, reaches the agent of an endpoint that holds
open flows. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run."""

import asyncio
import json
import pathlib
import sys
import time

sys.dont_write_bytecode = True

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from world2 import Deployment, trouble  # noqa: E402
from processes import Failure  # noqa: E402
from stream_ends import http_post  # noqa: E402

FLOWS = 6
START_S = 4.0        # the first members of a fleet place no flow before
SETTLE_S = 5.0       # calm before the disruption
RUN_MAX_S = 100.0
AFTER_S = 5.0
PAUSE_S = 0.4


async def use(world, caller, flow, number, until):
    """Sends one request after another on an open flow."""
    count = 0
    while time.monotonic() < until and not flow.broken:
        count += 1
        request = f"f{number}-{count}"
        outcome = await flow.ask(request, caller.services, 400, 2.0)
        world.note(f"flow {number}: request {request} {outcome.how} after {outcome.seconds:.3f} s, "
                   f"run at {world.journal.runs.get(request, [])}")
        await asyncio.sleep(PAUSE_S)
    world.note(f"flow {number}: {count} requests, {'reset' if flow.broken else 'still open'}")


async def other_writer(world):
    """One heartbeat, to one agent: no address, zone and version, slots of another type."""
    await asyncio.sleep(SETTLE_S)
    target = max(world.targets.values(), key=lambda t: len(t.flows))
    body = json.dumps({"service": target.service, "state": "ready", "slots": "several", "seq": 1,
                       "born": int(time.time() * 1000)})
    path = "/-/instances/another-writer/heartbeat"
    status = await http_post(target.reports, path, body) if trouble() else "not sent"
    world.note(f"heartbeat of another writer at the agent of {target.name}: {body}: {status}")


async def open_flow(caller):
    for _ in range(20):
        flow = caller.flow()
        if await flow.open():
            return flow
    raise Failure("a flow does not open")


async def play(record):
    with Deployment(record, balancers=2, targets=(("scores", 3), ("files", 2))) as world:
        return await play_in(world)


async def play_in(world):
    await world.run_all(callers=FLOWS)
    await asyncio.sleep(START_S)
    flows = []
    for number, caller in enumerate(world.callers):
        flows.append((number, caller, await open_flow(caller)))
    holders = {t.name: len(t.flows) for t in world.targets.values()}
    world.note(f"open flows at {holders}")
    until = time.monotonic() + SETTLE_S + AFTER_S
    await asyncio.gather(other_writer(world), *(use(world, caller, flow, number, until)
                                                for number, caller, flow in flows))
    for target in world.targets.values():
        world.note(f"{target.name}: holds {len(target.flows)} flows, state {target.state}")
    for what in world.journal.wrong:
        world.note(f"BROKEN FLOW: {what}")
    return 1 if world.journal.wrong else 0


def main():
    with open(HERE / "record.txt", "w", encoding="utf-8") as record:
        try:
            status = asyncio.run(asyncio.wait_for(play(record), RUN_MAX_S))
        except (Failure, OSError, asyncio.TimeoutError) as error:
            record.write(f"could not run: {error}\n")
            status = 2
        record.write(f"exit {status}\n")
    return status


if __name__ == "__main__":
    sys.exit(main())
