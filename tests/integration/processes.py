"""Starts real processes on loopback, waits for what they say, and ends everything it started."""

import fcntl
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = pathlib.Path(os.environ.get("KQ_BIN", ROOT / "build/release/bin"))
POLL_S = 0.01
NETS = 50  # loopback networks 127.1 to 127.50, one for each cluster that runs at the same time


class Failure(Exception):
    """An event that a test waits for did not come, or a process did not do what it must."""


def wait_for(what, condition, timeout):
    """Polls until condition() is true; returns its value."""
    end = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise Failure(f"no {what} within {timeout} s")
        time.sleep(POLL_S)


def get(url, timeout=1.0):
    """Returns (status, body) of a GET; status 0 when nobody answers."""
    try:
        with urllib.request.urlopen(url, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


class Process:
    """One process; its standard error goes to NAME.log in the cluster's folder."""

    def __init__(self, folder, name, argv, environment=None):
        self.name = name
        self.log_path = folder / f"{name}.log"
        self.summary_path = folder / f"{name}.summary"
        self.journal_path = folder / f"{name}.journal"
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen([str(a) for a in argv], cwd=folder, stdin=subprocess.PIPE,
                                          stdout=log, stderr=log,
                                          env={**os.environ, **(environment or {})})

    def log(self):
        return self.log_path.read_text(errors="replace")

    def wait_log(self, text, timeout=10):
        def seen():
            if text in self.log():
                return True
            if self.popen.poll() is not None:
                raise Failure(f"{self.name} ended with {self.popen.returncode}: {self.log()[-800:]}")
            return False
        wait_for(f"'{text}' of {self.name}", seen, timeout)

    def line(self, text):
        """Sends a control line to a stand-in."""
        self.popen.stdin.write(text.encode() + b"\n")
        self.popen.stdin.flush()

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.popen.wait()

    def freeze(self):
        self.signal(signal.SIGSTOP)

    def wake(self):
        self.signal(signal.SIGCONT)

    def terminate(self):
        self.signal(signal.SIGTERM)

    def ended(self, timeout):
        """Waits for the end; returns the exit status."""
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            raise Failure(f"{self.name} does not end within {timeout} s") from None

    def summary(self):
        if not self.summary_path.exists():
            return None
        return json.loads(self.summary_path.read_text())


class Bench:
    """A folder, a loopback network of its own and the processes in it; a context manager."""

    def __init__(self, environment=None):
        self.environment = environment
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kumquat-"))
        self.processes = {}
        self.net, self.lock = self._take_net()

    @staticmethod
    def _take_net():
        """Takes a network that no other bench on this machine uses, until this process ends."""
        for number in range(1, NETS + 1):
            path = os.path.join(tempfile.gettempdir(), f"kumquat-net-{number}.lock")
            lock = open(path, "w", encoding="utf-8")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return number, lock
            except OSError:
                lock.close()
        raise Failure("all loopback networks are taken; end other runs")

    def ip(self, group, number):
        return f"127.{self.net}.{group}.{number}"

    def start(self, name, program, *options, ready=None):
        process = Process(self.folder, name, [BIN / program, *options], self.environment)
        self.processes[name] = process
        if ready is not None:
            process.wait_log(ready)
        return process

    def standin(self, name, kind, *options):
        """Starts a stand-in that writes a summary, and waits until it is ready."""
        return self.start(name, f"standin-{kind}", *options, "--summary",
                          self.folder / f"{name}.summary", ready="ready ")

    def close(self):
        for process in self.processes.values():
            process.wake()
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.popen.wait()
            process.popen.stdin.close()
        self.lock.close()
        if os.environ.get("KQ_KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.close()
