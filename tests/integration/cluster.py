"""The whole system as real processes: store, balancers, agents, targets, fabric and callers."""

import json
import os
import subprocess

import processes
from processes import Bench, get, wait_for

CONTROL_KEY = "00112233445566778899aabbccddeeff" * 2
ECHO_KEY = "ffeeddccbbaa99887766554433221100" * 2
OPERATOR_KEY = "operator-key-of-the-tests"
PORTS = {"scoring": 7001, "media": 7002, "utleie": 7003, "dokument": 7004}
DOMAINS = {"scoring": ["bole", "kality", "akaki", "merkato"],
           "media": ["bole", "kality", "akaki", "merkato"],
           "utleie": ["no-ost-a", "no-ost-b", "no-ost-c"],
           "dokument": ["no-ost-a", "no-ost-b", "no-ost-c"]}
SERVICE = {"slots": 5, "connections": 2000, "deadline_ms": 4000, "slo_permille": 990,
           "slo_latency_ms": 500}
START_S = 15
BUCKETS = 256


def read_metrics(text):
    """Returns name -> value of Prometheus text, without labels."""
    lines = [line.rsplit(" ", 1) for line in text.splitlines() if line and line[0] != "#"]
    return {name.split("{")[0]: float(value) for name, value in lines}


class Cluster(Bench):
    """Starts and stops the system's processes; names follow NAME-NUMBER."""

    def __init__(self, seed=1, control=None, environment=None):
        super().__init__(environment)
        self.seed = seed
        self.control = {"probe_interval_ms": 200, "suspicion_ms": 1500}
        self.control.update(control or {})
        self.store_address = f"{self.ip(0, 1)}:2379"
        self.store_admin = f"{self.ip(0, 1)}:2380"
        self.plans = 0
        self.store_seen = self.store_address  # what balancers use; a proxy may stand between
        self.balancers = []
        self.agents = {}  # name -> number
        self.callers = []
        self.numbers = 0

    def start_store(self):
        process = self.start("store", "standin-store", "--listen", self.store_address, "--admin",
                             self.store_admin)
        process.wait_log("listening")
        return process

    def store_fault(self, name, **parameters):
        """Sets a switch of the store's stand-in, such as down, slow or lose_answers."""
        query = "&".join(f"{k}={v}" for k, v in parameters.items())
        status, body = get(f"http://{self.store_admin}/admin/{name}?{query}")
        if status != 200:
            raise processes.Failure(f"store switch {name}: {status} {body}")
        return json.loads(body)

    def create_services(self, names):
        """Creates the services as an operator would: a file, its plan, and the confirm."""
        for number in self.balancers:
            url = self.http(f"balancer-{number}") + "/healthz"
            wait_for(f"balancer-{number}", lambda u=url: get(u)[0] == 200, START_S)
        lines = []
        for name in names:
            lines.append(f"[services.{name}]")
            lines += [f"{k} = {v}" for k, v in {"port": PORTS[name], **SERVICE}.items()]
        (self.folder / "services.toml").write_text("\n".join(lines) + "\n")
        self.kumquatctl("plan", "--file", "services.toml", "--out", "services.json")
        self.kumquatctl("confirm", "services.json")

    def kumquatctl(self, *arguments, server=None):
        """Runs the operators' command against a live balancer; returns its output."""
        alive = [n for n in self.balancers
                 if self.processes[f"balancer-{n}"].popen.poll() is None]
        address = f"{self.ip(1, server or alive[0])}:6200"
        environment = {**os.environ, "KUMQUAT_SERVER": address, "KUMQUAT_KEY": OPERATOR_KEY}
        done = subprocess.run([processes.BIN / "kumquatctl", *arguments], env=environment,
                              cwd=self.folder, stdin=subprocess.DEVNULL, text=True, timeout=30,
                              stdout=subprocess.PIPE, stderr=subprocess.STDOUT, check=False)
        if done.returncode != 0:
            raise processes.Failure(f"kumquatctl {' '.join(arguments)}: {done.stdout[-400:]}")
        return done.stdout

    def confirm(self, kind, service, *arguments):
        """Plans one intent (drain, join, change...) and confirms the plan."""
        self.plans += 1
        plan = f"plan-{self.plans}.json"
        self.kumquatctl("plan", kind, service, *arguments, "--out", plan)
        return self.kumquatctl("confirm", plan)

    def _write_settings(self, name, sections):
        lines = [f'{k} = {json.dumps(v)}' for k, v in sections.pop("").items()]
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{k} = {json.dumps(v)}" for k, v in values.items()]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def _control(self, ip):
        seeds = [f"{self.ip(1, n)}:6100" for n in (1, 2, 3)]
        return {"address": f"{ip}:6100", "seeds": seeds, "key": CONTROL_KEY, **self.control}

    def start_balancer(self, number, wait=True, workers=2):
        name = f"balancer-{number}"
        ip = self.ip(1, number)
        domains = DOMAINS["scoring"]
        path = self._write_settings(name, {
            "": {"name": name, "failure_domain": domains[number % len(domains)]},
            "data": {"address": f"{ip}:6000", "workers": workers},
            "control": self._control(ip),
            "store": {"endpoints": [self.store_seen], "timeout_ms": 1000},
            "http": {"address": f"{ip}:6200", "operator_key": OPERATOR_KEY},
            "shutdown": {"linger_s": 2}})
        process = self.start(name, "kumquat-balancer", "--config", path)
        if number not in self.balancers:
            self.balancers.append(number)
        if wait:
            self.wait_ready(name)
        return process

    def http(self, name):
        if name.startswith("balancer"):
            return f"http://{self.ip(1, int(name.split('-')[1]))}:6200"
        return f"http://{self.ip(2, self.agents[name])}:6101"

    def wait_ready(self, name, timeout=START_S):
        process = self.processes[name]

        def ready():
            if process.popen.poll() is not None:
                raise processes.Failure(f"{name} ended: {process.log()[-800:]}")
            return get(self.http(name) + "/readyz")[0] == 200
        wait_for(f"readiness of {name}", ready, timeout)

    def start_target(self, service, index, *options, agent=True, **settings):
        """Starts a target and the agent beside it; returns the target's name."""
        name = f"{service}-{index}"
        if name not in self.agents:
            self.numbers += 1
            self.agents[name] = self.numbers
        number = self.agents[name]
        self.standin(f"target-{name}", "target", "--listen", f"{self.ip(3, number)}:5683",
                     "--service", service, "--name", name, "--seed", self.seed * 1000 + number,
                     "--journal", self.folder / f"{name}.journal", "--seconds", "110", *options)
        if agent:
            self.start_agent(service, index, **settings)
        return name

    def start_agent(self, service, index, target=None, **settings):
        name = f"{service}-{index}"
        number = self.agents[name]
        ip = self.ip(2, number)
        domains = DOMAINS[service]
        path = self._write_settings(name, {
            "": {"name": name, "failure_domain": domains[index % len(domains)]},
            "data": {"address": f"{ip}:6000"},
            "control": self._control(ip),
            "target": {"service": service, "address": target or f"{self.ip(3, number)}:5683",
                       "ramp_ms": 0},
            "echo": {"key": ECHO_KEY},
            "http": {"address": f"{ip}:6101"},
            "flows": {"idle_s": 20},
            "shutdown": {"linger_s": 2, "drain_limit_s": 30},
            **settings})
        return self.start(name, "kumquat-agent", "--config", path)

    def start_fabric(self, *options, services=tuple(PORTS)):
        arguments = ["--ip", self.ip(0, 10), "--seed", self.seed, "--control", "--seconds", "110"]
        for service in services:
            arguments += ["--service", PORTS[service]]
        for number in self.balancers:
            arguments += ["--balancer", self.ip(1, number)]
        return self.standin("fabric", "fabric", *arguments, *options)

    def start_caller(self, service, *options, name=None, fabric=None):
        number = len(self.callers) + 1
        name = name or f"c{number}"
        self.callers.append(name)
        return self.standin(name, "caller", "--fabric",
                            f"{fabric or self.ip(0, 10)}:{PORTS[service]}", "--ip",
                            self.ip(9, number), "--name", name, "--service", service, "--seed",
                            self.seed * 100 + number, "--control", "--journal",
                            self.folder / f"{name}.journal", *options)

    def wait_serving(self, timeout=START_S):
        """Waits until every agent serves and every balancer knows the configuration."""
        for name in self.running():
            self.wait_ready(name, timeout)

    def running(self):
        names = [*self.agents, *(f"balancer-{n}" for n in self.balancers)]
        return [n for n in names if n in self.processes
                and self.processes[n].popen.poll() is None]

    def wait_converged(self, timeout=START_S):
        """Waits until all instances know each other and agree on the home of every bucket."""
        def converged():
            names = self.running()
            homes = {}
            for name in names:
                metrics = read_metrics(get(self.http(name) + "/metrics")[1])
                if metrics.get("kumquat_members") != len(names):
                    return False
                if metrics.get("kumquat_buckets_syncing"):
                    return False
                service = name.rsplit("-", 1)[0]
                homes[service] = homes.get(service, 0) + metrics.get("kumquat_buckets_home", 0)
            return all(n == BUCKETS for s, n in homes.items() if s != "balancer")
        wait_for("one view on all instances", converged, timeout)

    def end_callers(self, timeout=20):
        """Ends the traffic, lets open requests finish, and waits for the summaries."""
        for name in self.callers:
            if self.processes[name].popen.poll() is None:
                self.processes[name].line("stop")
        for name in self.callers:
            self.processes[name].ended(timeout)

    def end_targets(self):
        """Stops fabric and targets, whose summaries are written then."""
        names = [n for n in self.processes if n.startswith("target-")] + ["fabric"]
        for name in names:
            if name in self.processes:
                self.processes[name].terminate()
        for name in names:
            if name in self.processes:
                self.processes[name].ended(10)
