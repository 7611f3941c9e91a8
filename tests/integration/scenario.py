"""Runs one fault case: a cluster, traffic, events at stated times, and the verdict of the records."""

import dataclasses
import socket
import time

import records
from cluster import PORTS, Cluster
from processes import Failure

IN_FORCE_S = 2.0  # today's fleet: a confirmed configuration is in force within this
PROBE = bytes([0x51, 0x01, 0x00, 0x01, 0x01, 0xB4]) + b"load"  # CoAP NON GET /load
STANDARD_TRAFFIC = {"scoring": ["--flows", 20, "--feeds", 6, "--think-ms", 30, "--life-ms", 3000],
                    "utleie": ["--flows", 20, "--think-ms", 30, "--life-ms", 3000],
                    "media": ["--flows", 12, "--think-ms", 10, "--life-ms", 5000],
                    "dokument": ["--flows", 12, "--think-ms", 10, "--life-ms", 5000]}


@dataclasses.dataclass
class Outcome:
    """What a case showed: counts that are not 0, and lines that explain them."""
    seen: dict
    details: list
    seconds: float


class Scenario:
    """One case's cluster; each public method is an event that cases.toml can name."""

    def __init__(self, case, cluster):
        self.case = case
        self.cluster = cluster
        self.left = {}
        self.excused = set(case.get("excused", []))
        self.config_late = 0
        self.details = []

    # Processes

    def kill(self, name):
        self.cluster.processes[name].kill()

    def restart(self, name):
        """Starts a killed or ended balancer or agent again."""
        kind, number = name.rsplit("-", 1)
        if kind == "balancer":
            self.cluster.start_balancer(int(number))
        else:
            self.cluster.start_agent(kind, int(number))
            self.cluster.wait_ready(name)

    def freeze(self, name):
        self.cluster.processes[name].freeze()

    def wake(self, name):
        self.cluster.processes[name].wake()

    def stop(self, name):
        """Asks for a graceful shutdown."""
        if name in self.cluster.agents:
            self.left[name] = int(time.monotonic() * 1e6)
        self.cluster.processes[name].terminate()

    def stopped(self, name):
        """Waits for the end of a graceful shutdown."""
        if self.cluster.processes[name].ended(30) != 0:
            raise Failure(f"{name} did not end with status 0")

    def stop_target(self, name):
        """Stops a target whose agent has ended; requests in progress would be cut."""
        self.cluster.processes[f"target-{name}"].terminate()
        self.cluster.processes[f"target-{name}"].ended(10)

    def join(self, service, index):
        name = self.cluster.start_target(service, index)
        self.cluster.wait_ready(name)

    def reuse(self, name, service, index):
        """Gives the addresses of a gone target and its agent to a target of another service."""
        self.cluster.agents[f"{service}-{index}"] = self.cluster.agents[name]
        self.cluster.start_target(service, index)
        self.cluster.wait_ready(f"{service}-{index}")

    # Network and store

    def fabric(self, line):
        self.cluster.processes["fabric"].line(line)

    def route(self, verb, number):
        """Lets the fabric add or remove a balancer."""
        self.fabric(f"{verb} {self.cluster.ip(1, number)}")

    def proxy(self, line):
        self.cluster.processes["proxy"].line(line)

    def store_fault(self, switch, parameter=None, value=None):
        """Sets a switch of the store's stand-in, see standins/lib/store_server.c."""
        self.cluster.store_fault(switch, **({parameter: value} if parameter else {}))

    # Configuration

    def drain(self, name):
        self.left[name] = int(time.monotonic() * 1e6)
        self.cluster.confirm("drain", name.rsplit("-", 1)[0], name)

    def undrain(self, name):
        self.left.pop(name, None)
        self.cluster.confirm("join", name.rsplit("-", 1)[0], name)

    def put_port(self, service, port):
        """Changes the port without waiting for anybody."""
        self.cluster.confirm("change", service, f"port={port}")

    def move_port(self, service, port):
        """Confirms another port and sees from outside when each balancer answers there."""
        self.put_port(service, port)
        begun = time.monotonic()
        for number in self.cluster.balancers:
            self._expect_port(number, port, begun + IN_FORCE_S)

    def expect_port(self, service, port):
        """Every live balancer answers at @port: a confirmed configuration did not revert."""
        del service
        for number in self.cluster.balancers:
            self._expect_port(number, port, time.monotonic() + IN_FORCE_S)

    def _expect_port(self, number, port, end):
        address = (self.cluster.ip(1, number), port)
        if self.cluster.processes[f"balancer-{number}"].popen.poll() is not None:
            return
        while not answers(address):
            if time.monotonic() > end:
                self.config_late += 1
                self.details.append(f"balancer-{number} does not serve port {port} in time")
                return

    def pause(self):
        """Lets the time of the event pass."""


def answers(address):
    """Returns whether anything answers a CoAP request there within 0.2 s."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.settimeout(0.2)
        probe.sendto(PROBE, address)
        try:
            return bool(probe.recv(2048))
        except OSError:
            return False


def start(case, cluster):
    if case.get("store_proxy"):
        cluster.store_seen = f"{cluster.ip(0, 2)}:2379"
        cluster.standin("proxy", "proxy", "--tcp",
                        f"store={cluster.store_seen}={cluster.store_address}")
    cluster.start_store()
    services = case["services"]
    for number in range(1, case.get("balancers", 2) + 1):
        cluster.start_balancer(number, wait=False)
    cluster.create_services(services)
    for service in services:
        options = case.get("targets", {}).get(service, {})
        for index in range(1, case.get("targets_each", 3) + 1):
            cluster.start_target(service, index, *options.get(str(index), []),
                                 **case.get("agent", {}))
    cluster.wait_serving()
    if not case.get("cold"):
        cluster.wait_converged()
    cluster.start_fabric(*case.get("fabric", []), services=tuple(services))
    for service in case.get("traffic", services):
        cluster.start_caller(service, *STANDARD_TRAFFIC[service], "--seconds", 60,
                             *case.get("caller", []))
        cluster.processes[cluster.callers[-1]].wait_log("ready")


def play(case, scenario):
    begun = time.monotonic()
    for event in case["events"]:
        at, verb, *arguments = event
        time.sleep(max(0, begun + at - time.monotonic()))
        getattr(scenario, verb)(*arguments)


def run(case, seed):
    """Runs one case; returns its Outcome."""
    begun = time.monotonic()
    with Cluster(seed, case.get("control"), case.get("environment")) as cluster:
        scenario = Scenario(case, cluster)
        start(case, cluster)
        play(case, scenario)
        cluster.end_callers()
        cluster.end_targets()
        verdict = records.check(cluster.folder, scenario.left, scenario.excused)
        seen = {name: count for name, count in verdict.counts().items() if count}
        if scenario.config_late:
            seen["config_late"] = scenario.config_late
        for service in case.get("traffic", case["services"]):
            if records.total(cluster.folder, service, "whole") == 0:
                seen["no_traffic"] = 1
        details = verdict.details + scenario.details
    for name in case.get("allow", []):
        seen.pop(name, None)
    return Outcome(seen, details[:10], time.monotonic() - begun)


assert set(STANDARD_TRAFFIC) == set(PORTS)
