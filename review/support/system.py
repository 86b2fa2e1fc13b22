"""Starts the programs of deploy/system.toml on loopback addresses.

The settings are the templates of the deploy file, filled in with the fields
that DEPLOY.md names and the bounds of the site that the case names.
"""
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
DEPLOY = os.path.join(ROOT, "deploy")
ZONES = ("spata-a", "koropi-b", "elefsina-c")

KAD_BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "stabilityWindowMs": 4000,
              "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
              "lossSlackMs": 200, "configApplyMs": 3000,
              "rollbackSlackMs": 250, "maxStretchMs": 12000, "recoveryS": 12,
              "flowWindowMs": 2000, "maxFlowS": 60}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.begun, self.lock = time.monotonic(), threading.Lock()
        self.out = open(path, "w", encoding="utf-8")
        self.breaches, self.runs = [], {}
        self.counts = {"sent": 0, "answered": 0, "ran": 0}
        self.openings = []  # (time, target's instance, caller)

    def note(self, line):
        with self.lock:
            self.out.write(f"{time.monotonic() - self.begun:8.3f} {line}\n")
            self.out.flush()

    def breach(self, rule, line):
        with self.lock:
            self.breaches.append((rule, line))
        self.note(f"{rule}: {line}")

    def sent(self, name):
        self.counts["sent"] += 1
        self.note(f"sent {name}")

    def answered(self, name, instance):
        self.counts["answered"] += 1
        self.note(f"answered {name} by {instance}")

    def ran(self, target, name):
        self.counts["ran"] += 1
        self.note(f"ran {name} at {target.instance}")
        with self.lock:
            self.runs.setdefault(name, []).append(target.instance)

    def opened(self, target, key):
        with self.lock:
            self.openings.append((time.monotonic(), target.instance, key[0]))
        self.note(f"{target.instance} takes the opening packet of "
                  f"{key[0][0]}:{key[0][1]}")

    def close(self):
        self.note(f"in all: {self.counts}, breaches: {len(self.breaches)}")
        self.out.close()


def lookup(scopes, name):
    if name == ".":
        return scopes[-1]["."]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and \
                    int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def shown(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(str, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


def fill(template, scopes):
    """The template of DEPLOY.md, section "Settings of a process"."""
    out, at = "", 0
    pattern = re.compile(r"\{\{([#^])([^}]+)\}\}")
    for found in iter(lambda: pattern.search(template, at), None):
        out += fill_values(template[at:found.start()], scopes)
        end = template.index("{{/" + found[2] + "}}", found.end())
        inner, value = template[found.end():end], lookup(scopes, found[2])
        at = end + len(found[2]) + 5
        if found[1] == "^":
            out += fill(inner, scopes) if not value else ""
        elif isinstance(value, (list, dict)):
            entries = list(value.items()) if isinstance(value, dict) else \
                list(enumerate(value))
            for i, (key, entry) in enumerate(entries):
                comma = "," if i + 1 < len(entries) else ""
                out += fill(inner, scopes + [{".": entry, "@": key, ",": comma}])
        elif value or value == 0 and value is not False:
            out += fill(inner, scopes)
    return out + fill_values(template[at:], scopes)


def fill_values(template, scopes):
    return re.sub(r"\{\{([^}]+)\}\}",
                  lambda found: shown(lookup(scopes, found[1])), template)


def read_roles():
    """Command and template of each role, from the deploy file."""
    roles, name = {}, None
    with open(os.path.join(DEPLOY, "system.toml"), encoding="utf-8") as lines:
        for line in lines:
            if found := re.match(r"\[roles\.(\w+)\]", line):
                name = found[1]
                roles[name] = {}
            elif name and (found := re.match(r'(run|template) = "([^"]+)"', line)):
                roles[name][found[1]] = found[2]
    return roles


def is_free(address, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


class System:
    """Control on three machines with a disk, balancers there, and agents."""

    def __init__(self, record, agents=3, fronts=3, bounds=None, service="huvo11a",
                 heartbeat_ms=1200, losses=1):
        self.record, self.service, self.heartbeat_ms = record, service, heartbeat_ms
        self.bounds, self.losses = bounds or KAD_BOUNDS, losses
        self.folder = tempfile.mkdtemp(prefix="toucanmill-review-")
        self.roles, self.running, self.started = read_roles(), {}, set()
        for _ in range(200):
            self.net = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
            self.base = random.randrange(10000, 31000)
            wanted = [(self.front(1), self.base + i) for i in range(12)]
            if all(is_free(*item) for item in wanted):
                break
        else:
            raise CannotRun("no free ports")
        self.fronts = [self.front(i + 1) for i in range(fronts)]
        self.sides = [f"{self.net}.{i + 101}" for i in range(agents)]
        self.app_port, self.outbound_port = self.base + 2, self.base + 3
        self.control_port, self.ready_port = self.base + 4, self.base + 5
        self.data_port = self.base + 6
        self.agent_api = {}  # side: address of its control, if a proxy is before it
        if not os.access(os.path.join(ROOT, "target", "toucanmilld"), os.X_OK):
            raise CannotRun("target/toucanmilld is not built")

    def front(self, index):
        return f"{self.net}.{index}"

    def client_address(self, index):
        return f"{self.net}.{index + 201}"

    def zone(self, ip):
        return ZONES[(int(ip.split(".")[3]) - 1) % len(ZONES)]

    def fields(self, ip, role):
        control = self.agent_api.get(ip, f"{ip}:{self.control_port}")
        first = (ip, role) not in self.started
        return {
            "nodeName": ("side-" if ip in self.sides else "front-") +
                        f"{self.zone(ip)}-{ip.split('.')[3]}",
            "role": role, "ip": ip, "zone": self.zone(ip), "region": "attica",
            "internalPorts": [self.base, self.base + 1],
            "seeds": [f"{self.front(i + 1)}:{self.control_port}" for i in range(3)],
            "bootstrap": first, "dataDir": os.path.join(self.folder, "data-" + ip),
            "heartbeatIntervalMs": self.heartbeat_ms,
            "app": f"{ip}:{self.app_port}", "service": self.service,
            "zones": {zone: "attica" for zone in ZONES},
            "bindAddrs": {"datagramAddr": f"{ip}:{self.data_port}",
                          "ready": f"{ip}:{self.ready_port}",
                          "outbound": f"{ip}:{self.outbound_port}",
                          "control": control},
            "faultTolerance": {"machines": self.losses, "zones": 0, "regions": 0},
            "bounds": self.bounds}

    def start(self, ip, role):
        declared = self.roles[role]
        with open(os.path.join(ROOT, declared["template"]), encoding="utf-8") as source:
            settings = fill(source.read(), [self.fields(ip, role)])
        boot = os.path.join(self.folder, f"{role}-{ip}.toml")
        with open(boot, "w", encoding="utf-8") as out:
            out.write(settings)
        program = declared["run"].split()[0]
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
               if key in os.environ}
        with open(boot[:-5] + ".log", "ab") as log:
            self.running[(ip, role)] = subprocess.Popen(
                [os.path.join(ROOT, program), boot], cwd=ROOT, stdout=log,
                stderr=log, stdin=subprocess.DEVNULL,
                env={**env, "TOUCANMILL_CONFIG": boot})
        self.started.add((ip, role))
        self.record.note(f"{role} on {ip} starts")

    def start_all(self):
        for ip in self.fronts[:3]:
            self.start(ip, "control")
        for ip in self.fronts:
            self.start(ip, "balancer")
        for ip in self.sides:
            self.start(ip, "agent")

    def signal(self, ip, role, how):
        self.record.note(f"{role} on {ip} gets {signal.Signals(how).name}")
        self.running[(ip, role)].send_signal(how)

    def end(self, ip, role, how, limit=8):
        self.signal(ip, role, how)
        process = self.running.pop((ip, role))
        try:
            process.wait(limit)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def ended_alone(self):
        return [(key, process.returncode) for key, process in self.running.items()
                if process.poll() is not None]

    def end_all(self):
        for process in self.running.values():
            process.kill()
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def order(self, method, path, body=None, limit=10.0, first=0):
        """Status and body of a call to control; tries the nodes in turn."""
        until, node = time.monotonic() + limit, first
        while time.monotonic() < until:
            answer = self.ask(self.front(node % 3 + 1), method, path, body)
            if answer and answer[0] < 500:
                return answer
            node += 1
            time.sleep(0.1)
        return 0, b""

    def ask(self, ip, method, path, body=None, redirects=2, limit=1.0):
        connection = http.client.HTTPConnection(ip, self.control_port, timeout=limit)
        try:
            connection.request(method, path, body,
                               {"Content-Type": "application/json"})
            response = connection.getresponse()
            content = response.read()
            if response.status == 307 and redirects:
                to = response.getheader("Location").split("//")[1].split(":")[0]
                return self.ask(to, method, path, body, redirects - 1, limit)
            return response.status, content
        except OSError:
            return None
        finally:
            connection.close()

    def declare(self, version, routes, services):
        body = json.dumps({
            "version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConns": 2000,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        status, _ = self.order("PUT", "/toucanmill/config", body, 20.0)
        self.record.note(f"configuration {version}: status {status}")
        if status != 200:
            raise CannotRun(f"configuration {version} was not acknowledged")


def route(name, public, service, kind="safe", timeout_ms=1000, goal_ms=150):
    return {"name": name, "host": public[0], "pathPrefix": f"/{public[1]}/",
            "routeType": kind, "timeoutMs": timeout_ms, "latencyGoalMs": goal_ms,
            "priority": 2, "service": service, "maxAttempts": 2}


def wait_for(what, check, limit=30.0):
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if check():
            return
        time.sleep(0.1)
    raise CannotRun(f"{what} did not come")
