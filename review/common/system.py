"""A small deployment on loopback addresses, for the scripts of the review.

Starts the daemon with the command and the settings templates of the deploy
file. Clients, servers and the platform are stand-ins in Python.
"""
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
RECORD = "record.txt"      # in the folder of the case
LONGEST_RUN_S = 117

# Values of the small deployments (SYSTEM.md, DEPLOY.md).
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "stabilityWindowMs": 4000,
          "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
          "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250,
          "maxStretchMs": 12000, "recoveryS": 12, "flowWindowMs": 2000,
          "maxFlowS": 60}
ZONES = ["atl-hall-a", "atl-hall-b", "atl-colo-north", "atl-colo-south"]
HEARTBEAT_MS = 1200
MEMORY_MB = 260


def lookup(path, scopes):
    """Value of a dotted name; the innermost scope goes first."""
    for scope in scopes:
        value = scope
        if path == ".":
            return value
        for part in path.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = None
        if value is not None:
            return value
    return None


def shown(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(shown, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


SECTION = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)


def render(template, scopes):
    """The placeholders of DEPLOY.md that the project's templates use."""
    def section(match):
        kind, name, inner = match.groups()
        value = lookup(name, scopes)
        if kind == "^":
            return render(inner, scopes) if not value else ""
        if isinstance(value, (list, dict)):
            keys = list(value) if isinstance(value, dict) else range(len(value))
            parts = []
            for at, key in enumerate(keys):
                text = inner.replace("{{@}}", str(key))
                text = text.replace("{{,}}", "," if at + 1 < len(keys) else "")
                parts.append(render(text, [value[key]] + scopes))
            return "".join(parts)
        return render(inner, scopes) if value else ""
    text = SECTION.sub(section, template)
    return re.sub(r"\{\{([^}]+)\}\}",
                  lambda match: shown(lookup(match[1], scopes)), text)


def free_net(port):
    """First two octets of loopback addresses that no other run uses."""
    for octet in random.sample(range(20, 250), 200):
        with socket.socket() as probe:
            try:
                probe.bind((f"127.{octet}.10.1", port))
                return f"127.{octet}"
            except OSError:
                continue
    raise RuntimeError("no free loopback addresses")


class Machine:
    """One process of the daemon on an address of its own."""

    def __init__(self, system, role, ip, zone, extra):
        self.system, self.role, self.ip, self.zone = system, role, ip, zone
        self.extra, self.process, self.starts = extra, None, 0
        self.name = f"{role}-{ip.split('.')[-1]}"
        self.data = os.path.join(system.folder, "data-" + self.name)
        self.boot = os.path.join(system.folder, self.name + ".toml")
        self.log = os.path.join(system.folder, self.name + ".log")

    def fields(self):
        system = self.system
        found = {
            "nodeName": self.name, "ip": self.ip, "zone": self.zone,
            "region": "atl-metro", "seeds": system.seeds,
            "internalPorts": [system.rpc_port, system.rpc_port + 15],
            "bootstrap": system.bootstrap and self.starts == 0,
            "heartbeatIntervalMs": HEARTBEAT_MS,
            "zones": {zone: "atl-metro" for zone in ZONES},
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS, "limits": {"memoryMb": MEMORY_MB},
            "bindAddrs": {"datagramAddr": f"{self.ip}:{system.data_port}",
                          "ready": f"{self.ip}:{system.ready_port}",
                          "control": f"{self.ip}:{system.control_port}",
                          "outbound": f"{self.ip}:{system.outbound_port}"}}
        if self.role == "control" and "dataDir" not in self.extra:
            found["dataDir"] = self.data
        found.update(self.extra)
        return found

    def write_settings(self):
        """The platform places the filled template."""
        with open(os.path.join(ROOT, "deploy", self.role + ".tmpl")) as source:
            text = render(source.read(), [self.fields()])
        with open(self.boot + ".new", "w") as out:
            out.write(text)
        os.replace(self.boot + ".new", self.boot)

    def start(self):
        self.write_settings()
        self.starts += 1
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(ROOT, "target", "toucanmilld"), self.boot],
                cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={"PATH": os.environ.get("PATH", ""),
                     "TOUCANMILL_CONFIG": self.boot})
        self.system.record(f"{self.name} starts, pid {self.process.pid}")

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, what):
        if self.alive():
            self.process.send_signal(what)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.system.record(f"{self.name} is killed (SIGKILL)")

    def last_lines(self, count=3):
        with open(self.log, errors="replace") as log:
            return log.read().splitlines()[-count:]


class System:
    """The machines of a run, the record and the clean-up."""

    rpc_port, data_port, ready_port = 27720, 28172, 28167
    control_port, outbound_port, app_port = 28166, 28173, 28360

    def __init__(self, case):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = free_net(self.rpc_port)
        self.began, self.machines, self.bootstrap = time.monotonic(), [], True
        self.seeds = []
        self.out = open(os.path.join(ROOT, "review", case, RECORD), "w",
                        buffering=1)
        self.record(f"TROUBLE={'1' if TROUBLE else '0'}")

    def record(self, text):
        text = text.replace(self.folder, "FOLDER")
        self.out.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")

    def add(self, role, number, zone, **extra):
        block = {"control": 10, "balancer": 11, "agent": 12}[role]
        ip = f"{self.net}.{block}.{number}"
        machine = Machine(self, role, ip, zone, extra)
        self.machines.append(machine)
        return machine

    def add_controls(self, count):
        found = [self.add("control", i + 1, ZONES[i % len(ZONES)])
                 for i in range(count)]
        self.seeds = [f"{m.ip}:{self.control_port}" for m in found[:3]]
        return found

    def close(self):
        for machine in self.machines:
            if machine.process is not None:
                machine.signal(signal.SIGCONT)
                machine.signal(signal.SIGKILL)
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class NoRedirect(urllib.request.HTTPRedirectHandler):
    def redirect_request(self, *_):
        return None


OPENER = urllib.request.build_opener(urllib.request.ProxyHandler({}),
                                     NoRedirect)


def call(method, url, body=None, timeout=1.0, redirects=2):
    """Status and body; follows a 307 twice. Status 0: no answer."""
    data = body if isinstance(body, (bytes, type(None))) else \
        json.dumps(body).encode()
    request = urllib.request.Request(url, method=method, data=data)
    if data is not None:
        request.add_header("Content-Type", "application/json")
    try:
        with OPENER.open(request, timeout=timeout) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as refused:
        if refused.code == 307 and redirects > 0:
            return call(method, refused.headers["Location"], body, timeout,
                        redirects - 1)
        return refused.code, refused.read()
    except OSError:
        return 0, b""


class Operator:
    """Sends configurations and reads them back, as PROTOCOL.md has it."""

    def __init__(self, system, controls):
        self.system, self.controls = system, controls

    def url(self, machine, path="/toucanmill/config"):
        return f"http://{machine.ip}:{self.system.control_port}{path}"

    def declare(self, value, limit=30.0, timeout=1.0):
        """Sends until it is acknowledged; seconds that took, None: never."""
        begun, at = time.monotonic(), 0
        while time.monotonic() - begun < limit:
            machine = self.controls[at % len(self.controls)]
            status, _ = call("PUT", self.url(machine), value, timeout)
            if status == 200:
                return time.monotonic() - begun
            at += 1
            time.sleep(0.05 * min(at, 10))
        return None

    def read(self, limit=10.0):
        begun, at = time.monotonic(), 0
        while time.monotonic() - begun < limit:
            machine = self.controls[at % len(self.controls)]
            status, body = call("GET", self.url(machine))
            if status == 200:
                return json.loads(body)
            at += 1
            time.sleep(0.1)
        return None


def configuration(version, routes=4, services=("obslog",), timeout_ms=3000):
    """A complete configuration like the examples of PROTOCOL.md."""
    listed = [{"name": f"r-{i:07d}", "host": f"198.18.{i // 200}.{i % 200 + 1}",
               "pathPrefix": "/8443/", "routeType": "safe",
               "timeoutMs": timeout_ms, "latencyGoalMs": 150, "priority": 2,
               "service": services[i % len(services)], "maxAttempts": 2}
              for i in range(routes)]
    return {"version": version, "routes": listed,
            "services": [{"name": name, "healthPath": "/health",
                          "maxConns": 2000, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def give_up(number, _):
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    signal.alarm(0)
    raise TimeoutError(f"ended by signal {number}")


def run(case, body):
    """Runs the case; exits with its verdict and ends all processes."""
    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(LONGEST_RUN_S)
    if not os.access(os.path.join(ROOT, "target", "toucanmilld"), os.X_OK):
        print("target/toucanmilld is missing: build first")
        sys.exit(NOT_RUN)
    system = System(case)
    verdict = NOT_RUN
    try:
        verdict = body(system)
    except Exception as failure:  # the case couldn't run
        system.record(f"the case could not run: {failure!r}")
        print(f"could not run: {failure!r}")
    finally:
        system.close()
    words = {BROKEN: "the rule was broken", HELD: "the rule held",
             NOT_RUN: "the case could not run"}
    system.record(f"verdict {verdict}: {words[verdict]}")
    print(words[verdict])
    sys.exit(verdict)
