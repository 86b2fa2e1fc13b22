"""Starts and stops the processes of a rehearsal and reads their pages."""

import itertools
import json
import pathlib
import random
import signal
import socket
import subprocess
import time
import urllib.request

BUILD = pathlib.Path(__file__).resolve().parent.parent / "build"


def is_free(port):
    """A TCP and a UDP socket can be bound to the port now."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


# Below the range from which the system takes ports of outgoing connections: a
# connection of another process took a port between its choice and its use.
candidates = iter(random.sample(range(10000, 32000), 20000))


def free_ports(count):
    """Ports that are free now; never the same port twice in a run."""
    return list(itertools.islice(filter(is_free, candidates), count))


def address(port):
    return f"127.0.0.1:{port}"


class Process:
    """One program with its output in the run's folder."""

    def __init__(self, folder, name, *command):
        self.name = name
        self.out_path = folder / f"{name}.out"
        self.command = [str(BUILD / command[0]), *map(str, command[1:])]
        with open(self.out_path, "ab") as out, \
                open(folder / f"{name}.log", "ab") as log:
            self.process = subprocess.Popen(
                self.command, stdout=out, stderr=log,
                stdin=subprocess.DEVNULL)

    def alive(self):
        return self.process.poll() is None

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    def stop(self, limit=30):
        """SIGTERM; returns the exit code, None when it did not end in time."""
        self.signal(signal.SIGTERM)
        return self.wait(limit)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def wait(self, limit):
        try:
            return self.process.wait(limit)
        except subprocess.TimeoutExpired:
            return None

    def last_json(self):
        """Last line of the output as JSON; None when there is none."""
        lines = self.out_path.read_text().strip().splitlines()
        return json.loads(lines[-1]) if lines else None


def fetch(port, path, limit=2):
    """Body of a page; None when the server is gone or says no."""
    try:
        with urllib.request.urlopen(
                f"http://127.0.0.1:{port}{path}", timeout=limit) as answer:
            return answer.read().decode()
    except OSError:
        return None


def metrics(port):
    """Samples of a Prometheus page: {'name{labels}': value}."""
    page = fetch(port, "/metrics") or ""
    rows = (line.rsplit(" ", 1) for line in page.splitlines()
            if line and not line.startswith("#"))
    return {name: float(value) for name, value in rows}


def wait_until(condition, limit, what):
    """Polls a condition; raises TimeoutError that names what did not come."""
    end = time.monotonic() + limit
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"{what} did not happen within {limit} s")
        time.sleep(0.05)
