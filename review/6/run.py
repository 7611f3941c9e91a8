"""A route's new flows go to a second service for a while, and back; all balancers are restarted in turn,
then one agent of the second service. Exit status: 1 the rule was broken, 0 it held, 2 the case could not
run. TROUBLE=0: the same without the restart of the agent."""

import asyncio
import json
import pathlib
import signal
import sys
import time

sys.dont_write_bytecode = True
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from world2 import Deployment, trouble  # noqa: E402
from processes import Failure  # noqa: E402
from stream_world import SERVICES  # noqa: E402

CALLERS = 24
START_S = 4.0        # the first members of a fleet place no flow before
CALM_S = 6.0         # longer than stable_window_ms of the site (5 s)
AWAY_S = 0.6         # from the end of a process to its next start, as in the bench
RUN_MAX_S = 110.0
AFTER_S = 5.0
PAUSE_S = 0.4
(HOST, PORT), (FILES_HOST, FILES_PORT) = SERVICES["scores"], SERVICES["files"]


def write_configuration(world, backends):
    """Writes the next version; @backends are the services of the route's new flows and their weights."""
    world.version += 2
    shifted = {"name": "r0", "host": HOST, "prefix": f"/{PORT}/", "type": "safe", "timeout_ms": 3000,
               "target_latency_ms": 500, "priority": 2}
    if len(backends) == 1:
        shifted["service"] = backends[0][0]
    else:
        shifted["backends"] = [{"service": name, "weight": weight} for name, weight in backends]
    files = {"name": "r1", "host": FILES_HOST, "prefix": f"/{FILES_PORT}/", "type": "safe",
             "timeout_ms": 3000, "target_latency_ms": 500, "priority": 2, "service": "files"}
    world.store.put("op/config", json.dumps(
        {"version": world.version, "routes": [shifted, files], "services": [],
         "limits": {"idle_timeout_ms": 15000}}).encode())
    world.note(f"operator writes version {world.version}: {HOST}:{PORT} to {backends}")


async def in_force(world):
    await world.until("version in force", lambda: all(
        world.metric(ip, "kumquat_config_version") == world.version
        for ip in world.balancers.values()), 5.0)


async def use(world, flow, number, end):
    count = 0
    while time.monotonic() < end[0] and not flow.broken:
        count += 1
        request = f"f{number}-{count}"
        outcome = await flow.ask(request, ["scores", "files"], 400, 3.0)
        world.note(f"flow {number}: request {request} {outcome.how} after {outcome.seconds:.3f} s, "
                   f"run at {world.journal.runs.get(request, [])}")
        await asyncio.sleep(PAUSE_S)
    world.note(f"flow {number}: {count} requests, {'reset' if flow.broken else 'still open'}")


async def open_flow(caller):
    for _ in range(20):
        flow = caller.flow()
        if await flow.open():
            return flow
    raise Failure("a flow does not open")


async def stop(world, name):
    process = world.processes[name]
    process.signal(signal.SIGTERM)
    await asyncio.get_running_loop().run_in_executor(None, process.ended, 10)


async def restart_balancers(world):
    for name, ip in world.balancers.items():
        world.fabric.rotation = [b for b in world.fabric.balancers if b[0] != ip]
        await stop(world, name)
        await asyncio.sleep(AWAY_S)
        world.start_balancer(name)
        await world.until("a balancer", lambda i=ip: world.knows_all(i))
        world.fabric.rotation = list(world.fabric.balancers)
        world.note(f"{name}: restarted, in rotation")


async def restart_agent(world, name):
    world.note(f"{name}: SIGTERM")
    await stop(world, name)
    await asyncio.sleep(AWAY_S)
    world.start_agent(name)
    world.note(f"{name}: started again")


async def play(record):
    with Deployment(record, balancers=3, targets=(("scores", 3), ("files", 2))) as world:
        return await play_in(world)


async def play_in(world):
    await world.run_all(callers=CALLERS)
    for caller in world.callers:
        caller.to = (HOST, PORT)
    await asyncio.sleep(START_S)
    write_configuration(world, [("scores", 75), ("files", 25)])
    await in_force(world)
    flows = [await open_flow(caller) for caller in world.callers]
    held = {name: len(target.flows) for name, target in world.targets.items()}
    world.note(f"open flows at {held}")
    name = max((n for n, a in world.agents.items() if a[1] == "files"), key=lambda n: held[n])
    if held[name] == 0:
        raise Failure("no flow is open at the second service")
    end = [time.monotonic() + RUN_MAX_S]
    tasks = [asyncio.create_task(use(world, f, n, end)) for n, f in enumerate(flows)]
    await asyncio.sleep(2.0)
    write_configuration(world, [("scores", 1)])
    await in_force(world)
    await restart_balancers(world)
    await asyncio.sleep(CALM_S)
    if trouble():
        await restart_agent(world, name)
    end[0] = time.monotonic() + AFTER_S
    await asyncio.gather(*tasks)
    for each in world.targets.values():
        world.note(f"{each.name}: holds {len(each.flows)} flows, state {each.state}")
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
