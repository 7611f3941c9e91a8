#!/usr/bin/env python3
"""Sends seeded malformed bytes to every port of running daemons; nothing may end, leak or grow."""

import pathlib
import random
import socket

from cluster import PORTS, Cluster, read_metrics
from processes import Failure, get, wait_for

DATAGRAMS = 3000  # a round and port
CONNECTIONS = 20  # a round and port
DATAGRAM_BYTES = 2048  # KQ_DATAGRAM_BYTES
GROWTH_KB = 16 * 1024  # half of the memory that control may use on a node
BATCH = 50  # datagrams between two answers of /healthz, so that none is lost to a full buffer


def hostile_bytes(generator):
    """Random bytes, some with a true first byte, some longer than any datagram may be."""
    size = generator.choice([0, 1, 3, 4, 12, 60, 300, DATAGRAM_BYTES, 2 * DATAGRAM_BYTES])
    head = generator.choice([b"", b"\x01", b"\x01\x01", b"\x40\x01", b"\x01\xdd\xff\xff\xff\xff"])
    return (head + generator.randbytes(size))[:max(size, len(head))]


def send_datagrams(generator, ip, port, health):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(DATAGRAMS):
            sender.sendto(hostile_bytes(generator), (ip, port))
            if number % BATCH == 0:
                get(health)


def send_streams(generator, ip, port):
    for _ in range(CONNECTIONS):
        with socket.create_connection((ip, port), timeout=5) as stream:
            stream.sendall(generator.choice([b"", b"GET ", b"\xff\x00\x00\x00"])
                           + generator.randbytes(200))


def attack(cluster, generator, balancer, agent):
    health = {ip: f"http://{ip}:{port}/healthz" for ip, port in ((balancer, 6200), (agent, 6101))}
    for ip, port in ((balancer, PORTS["scoring"]), (balancer, 6000), (balancer, 6100),
                     (agent, 6000), (agent, 6100)):
        send_datagrams(generator, ip, port, health[ip])
    for ip, port in ((balancer, 6100), (balancer, 6200), (agent, 6100), (agent, 6101)):
        send_streams(generator, ip, port)
    for name in cluster.running():
        cluster.wait_ready(name)


def resident_kb(process):
    for line in pathlib.Path(f"/proc/{process.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1])
    raise Failure("no resident size")


def counter(cluster, name, key):
    return read_metrics(get(cluster.http(name) + "/metrics")[1]).get(key, 0)


def main():
    generator = random.Random(1)
    with Cluster(seed=1, environment={"ASAN_OPTIONS": "quarantine_size_mb=1"}) as cluster:
        cluster.start_store()
        cluster.start_balancer(1, wait=False)
        cluster.create_services(["scoring"])
        cluster.start_target("scoring", 1)
        cluster.wait_serving()
        cluster.wait_converged()
        names = ("balancer-1", "scoring-1")
        addresses = (cluster.ip(1, 1), cluster.ip(2, cluster.agents["scoring-1"]))
        attack(cluster, generator, *addresses)
        before = {n: resident_kb(cluster.processes[n]) for n in names}
        attack(cluster, generator, *addresses)
        grown = {n: resident_kb(cluster.processes[n]) - before[n] for n in names}
        print("grown by more than the bound:", [n for n in names if grown[n] > GROWTH_KB])
        print("balancer counted malformed datagrams:",
              counter(cluster, "balancer-1", "kumquat_balancer_malformed_total") >= DATAGRAMS)
        print("agent counted malformed datagrams:",
              counter(cluster, "scoring-1", "kumquat_datagrams_malformed_total") >= DATAGRAMS)
        cluster.start_fabric(services=("scoring",))
        caller = cluster.start_caller("scoring", "--flows", 4, "--think-ms", 20)
        wait_for("answers", lambda: counter(
            cluster, "scoring-1", "kumquat_requests_answered_total") > 20, 15)
        cluster.end_callers()
        summary = caller.summary()
        print("callers served afterwards, broken flows:", summary["flows_broken"])
        for name in names:
            cluster.processes[name].terminate()
        for name in names:
            cluster.processes[name].ended(40)
            print(name, "ended with", cluster.processes[name].popen.returncode)


main()
