"""A small deployment on loopback for the scripted review cases: the programs of the deploy file with
its settings templates, the project's own stand-ins for store, endpoints and clients."""

import os
import pathlib
import re
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests/integration"))

from processes import Failure, Process  # noqa: E402
import stream_world  # noqa: E402
from stream_world import World  # noqa: E402

# Hosts of the routes, in place of the stand-ins' own: they stand in packets and in the configuration only,
# and are loopback addresses like all others.
stream_world.SERVICES.update(scores=("127.99.0.1", 443), files=("127.99.0.2", 8443))

CONTRACTS = "base,drain,config,cost,recover,flows,platform"


def fill(template, values):
    """Fills in the placeholders of a settings template as the platform's page on deploying tells."""
    def value(name, entry):
        if name == ".":
            return entry
        found = values
        for part in name.split("."):
            found = found[int(part)] if part.isdigit() else found[part]
        return found

    def section(match):
        entries = value(match.group(1), None)
        parts = []
        for i, entry in enumerate(entries):
            comma = "," if i + 1 < len(entries) else ""
            part = match.group(2).replace("{{,}}", comma)
            parts.append(part.replace("{{.}}", str(entry)))
        return "".join(parts)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(value(m.group(1), None)), text)


class Deployment(World):
    """World with the programs, commands and templates of deploy/system.toml."""

    def __init__(self, record, **options):
        super().__init__(1, **options)
        self.environment = {"KUMQUAT_CONTRACTS": CONTRACTS}
        self.record = record
        self.started = time.monotonic()

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.record.flush()

    def fields(self, name, ip):
        return {"node_name": name, "zone": self.domain(name), "ip": ip,
                "internal_ports": [stream_world.CONTROL_PORT, stream_world.PEER_PORT],
                "seeds": [f"{b}:{stream_world.REPORT_PORT}" for b in list(self.balancers.values())[:3]],
                "platform": {"address": "%s:%d" % self.store_address},
                "listen": {"datagram_addr": f"{ip}:{stream_world.PORT}",
                           "ready": f"{ip}:{stream_world.READY_PORT}",
                           "control": f"{ip}:{stream_world.REPORT_PORT}",
                           "outbound": f"{ip}:{stream_world.OUTBOUND_PORT}"}}

    def write_settings(self, name, seeds=None):
        if name in self.balancers:
            template, values = "balancer.toml", self.fields(name, self.balancers[name])
        else:
            ip, service = self.agents[name]
            template, values = "agent.toml", self.fields(name, ip)
            values.update(service=service, app=f"{ip}:{stream_world.APP_PORT}")
        path = self.folder / f"{name}.toml"
        path.write_text(fill((ROOT / "deploy" / template).read_text(), values))
        return path

    def start_program(self, name, program):
        path = self.write_settings(name)
        process = Process(self.folder, name, [ROOT / "target" / program, "--config", path],
                          self.environment)
        self.processes[name] = process
        return process

    async def run_all(self, callers=4):
        await super().run_all(callers)
        for process in self.processes.values():
            if process.popen.poll() is not None:
                raise Failure(f"{process.name} did not start: {process.log()[-300:]}")

    def start_balancer(self, name, seeds=None):
        return self.start_program(name, "kumquat-balancer")

    def start_agent(self, name, seeds=None):
        return self.start_program(name, "kumquat-agent")


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"
