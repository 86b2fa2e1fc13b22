"""A small deployment of real processes on loopback addresses.

Starts the project's daemons with the commands and templates of the deploy
file, beside stand-ins for the platform: routers, targets that end their flows
themselves, clients and an operator. The stand-ins follow PROTOCOL.md and
DEPLOY.md and judge nothing: a case reads what they have seen.
"""
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[2]

HEAD = struct.Struct(">IIIIHBBHHII")
RST, FIN, SYN, ACK, BOUNCED = 1, 8, 16, 32, 64
MAX_DATA = 1200           # octets of data in a packet
FIRST_RETRY_S, LAST_RETRY_S = 0.2, 1.6
SYN_COPIES_S = (0.2, 0.6)  # copies of a SYN after the first one
OPEN_LIMIT_S = 1.4         # an attempt without SYN+ACK ends
RESET_WINDOW = 76_800      # a reset on an open flow is this near the last ack
TARGET_TRIES = 8
METRICS_PORTS = (9301, 9302, 9303)  # of the templates



def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def text(value):
    return socket.inet_ntoa(struct.pack(">I", value))


class Packet:
    """One datagram of the flow protocol; `key` is that of the sums."""

    def __init__(self, flags, source, destination, seq=0, ack=0, data=b"",
                 echo=0, pad=0, total=None):
        self.flags, self.source, self.destination = flags, source, destination
        self.seq, self.ack, self.data = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.echo, self.pad, self.total = echo, pad, total

    def sum(self, key):
        plain = HEAD.pack(self.seq, self.ack, 0, 0, len(self.data),
                          self.flags & ~BOUNCED, 0, self.source[1],
                          self.destination[1], number(self.destination[0]),
                          number(self.source[0]))
        return zlib.crc32(key + plain + self.data) or 1

    def encode(self, key):
        return HEAD.pack(self.seq, self.ack, 0, self.sum(key), len(self.data),
                         self.flags, 0, self.source[1], self.destination[1],
                         number(self.destination[0]),
                         number(self.source[0])) + self.data

    @staticmethod
    def decode(octets):
        (seq, ack, echo, total, _, flags, pad, sport, dport, dst,
         src) = HEAD.unpack(octets[:HEAD.size])
        return Packet(flags, (text(src), sport), (text(dst), dport), seq, ack,
                      octets[HEAD.size:], echo, pad, total)


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, *words):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} " +
                            " ".join(str(word) for word in words) + "\n")
            self.file.flush()


class FlowEnd:
    """One end of a flow: in order, acknowledged, retransmitted."""

    def __init__(self, send, own, other, seq, expected, tries=None):
        self.send_packet, self.own, self.other = send, own, other
        self.next_seq, self.acked, self.expected = seq, seq, expected
        self.unacked, self.tries = [], tries
        self.owed = 0          # packets not acknowledged yet
        self.owed_since = 0.0
        self.received, self.other_finished, self.finished = b"", False, False
        self.gave_up = False

    def write(self, data, finish=False):
        now = time.monotonic()
        parts = [data[i:i + MAX_DATA] for i in range(0, len(data), MAX_DATA)]
        if finish:
            parts = (parts or [b""])
        for i, part in enumerate(parts):
            last = finish and i + 1 == len(parts)
            flags = ACK | (FIN if last else 0)
            entry = [self.next_seq, part, flags, now, FIRST_RETRY_S, 0]
            self.unacked.append(entry)
            self.next_seq += len(part) + (1 if last else 0)
            self.emit(entry)
        self.finished |= finish

    def emit(self, entry):
        self.owed = 0
        self.send_packet(Packet(entry[2], self.own, self.other, entry[0],
                                self.expected, entry[1]))

    def acknowledge(self):
        self.owed = 0
        self.send_packet(Packet(ACK, self.own, self.other, self.next_seq,
                                self.expected))

    def on_packet(self, packet):
        """Returns whether new data or the end of the other side came."""
        self.unacked = [entry for entry in self.unacked
                        if (entry[0] + len(entry[1]) +
                            (1 if entry[2] & FIN else 0)) > packet.ack]
        size = len(packet.data) + (1 if packet.flags & FIN else 0)
        if size == 0:
            return False
        if packet.seq != self.expected:
            self.acknowledge()
            return False
        self.received += packet.data
        self.expected += size
        self.other_finished |= bool(packet.flags & FIN)
        if self.owed == 0:
            self.owed_since = time.monotonic()
        self.owed += 1
        if self.owed >= 2:
            self.acknowledge()
        return True

    def tick(self, now):
        if self.owed and now - self.owed_since > 0.02:
            self.acknowledge()
        for entry in self.unacked:
            if now - entry[3] < entry[4]:
                continue
            entry[3], entry[4] = now, min(2 * entry[4], LAST_RETRY_S)
            entry[5] += 1
            if self.tries and entry[5] > self.tries:
                self.gave_up = True
                return
            self.emit(entry)


class Target(threading.Thread):
    """A target on a side machine. `work` maps (id, path) to a delay in s."""

    def __init__(self, deployment, machine, service, index, states_birth=True):
        super().__init__(daemon=True)
        self.deployment, self.machine = deployment, machine
        self.states_birth = states_birth  # pages before `born` have no such field
        self.service, self.index = service, index
        self.instance = f"i-{index}-{random.randrange(1 << 32):08x}"
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)
        self.flows, self.runs, self.openings = {}, [], []
        self.acknowledged = {}      # state: time of its first acknowledgement
        self.foreign = []           # packets that their sender didn't write so
        self.lock, self.alive = threading.RLock(), True
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(machine.app)
        self.socket.settimeout(0.02)
        self.slots = 4

    def send(self, packet):
        self.socket.sendto(packet.encode(self.deployment.key),
                           self.machine.outbound)

    def run(self):
        threading.Thread(target=self.announce_forever, daemon=True).start()
        while self.alive:
            try:
                octets = self.socket.recv(4096)
            except socket.timeout:
                octets = None
            except OSError:
                return
            with self.lock:
                if octets:
                    self.on_octets(octets)
                now = time.monotonic()
                for flow, end in list(self.flows.items()):
                    end.tick(now)
                    if end.gave_up:
                        del self.flows[flow]

    def on_octets(self, octets):
        packet = Packet.decode(octets)
        if packet.total != packet.sum(self.deployment.key) or \
                packet.flags & BOUNCED:
            self.foreign.append(octets[:HEAD.size].hex())
            return
        flow = (packet.source, packet.destination)
        end = self.flows.get(flow)
        if packet.flags & SYN:
            if end is None or packet.seq + 1 != end.first_expected:
                end = self.open(flow, packet)
            self.send(Packet(SYN | ACK, packet.destination, packet.source,
                             end.first_seq, packet.seq + 1))
            return
        opened = end is not None and (end.is_open or
                                      packet.ack == end.first_seq + 1)
        if not opened:
            self.bounce(octets)
            return
        if not end.is_open:
            end.is_open = True
            self.deployment.record("target", self.index, "flow open", flow[0][1])
        if packet.flags & RST:
            del self.flows[flow]
            return
        if end.on_packet(packet):
            self.serve(flow, end)

    def bounce(self, octets):
        back = bytearray(octets)
        back[18] |= BOUNCED
        back[19] = 0
        self.socket.sendto(bytes(back), self.machine.outbound)

    def open(self, flow, packet):
        seq = random.randrange(1 << 31)
        end = FlowEnd(self.send, flow[1], flow[0], seq + 1, packet.seq + 1,
                      TARGET_TRIES)
        end.first_seq, end.first_expected = seq, packet.seq + 1
        end.is_open = False
        self.flows[flow] = end
        self.openings.append((time.monotonic(), flow))
        return end

    def serve(self, flow, end):
        while b"\r\n\r\n" in end.received:
            head, _, rest = end.received.partition(b"\r\n\r\n")
            length = int((re.search(rb"Content-Length: (\d+)", head) or
                          [0, b"0"])[1])
            if len(rest) < length:
                return
            end.received = rest[length:]
            request = re.search(rb"Request-Id: (\S+)", head)[1].decode()
            self.runs.append((time.monotonic(), request))
            self.deployment.record("target", self.index, "runs", request)
            delay = float((re.search(rb"Work-S: (\S+)", head) or
                           [0, b"0.02"])[1])
            threading.Timer(delay, self.answer, (flow, end, request)).start()
        if end.other_finished and not end.finished:
            end.write(b"", finish=True)

    def answer(self, flow, end, request):
        body = f"{self.instance} {request} ".encode() + b"x" * 400
        seal = zlib.crc32(self.deployment.key + body)
        with self.lock:
            if not self.alive or self.flows.get(flow) is not end:
                return
            leaves = self.state == "draining"
            end.write(b"HTTP/1.1 200 OK\r\nServer-Seal: %d\r\n"
                      b"Content-Length: %d\r\n\r\n" % (seal, len(body)) + body,
                      finish=leaves and not end.finished)

    def announce_forever(self):
        while self.alive:
            self.announce()
            self.next_beat = time.monotonic() + self.deployment.heartbeat_s
            while self.alive and time.monotonic() < self.next_beat:
                time.sleep(0.01)

    def announce(self):
        with self.lock:
            self.next_beat = time.monotonic() + self.deployment.heartbeat_s
            self.sequence += 1
            state = self.state
            body = {"service": self.service,
                    "address": "%s:%d" % self.machine.app,
                    "zone": self.machine.zone, "version": "v1",
                    "slots": self.slots, "state": state, "coldLeftMs": 0,
                    "seqNo": self.sequence}
            if self.states_birth:
                body["born"] = self.born
        status, _ = call("PUT", self.machine.control,
                         "/toucanmill/instances/" + self.instance, body)
        if 200 <= status < 300:
            self.acknowledged.setdefault(state, time.monotonic())
        return status

    def leave(self):
        """The planned end: DELETE, then the process is gone."""
        status, _ = call("DELETE", self.machine.control,
                         "/toucanmill/instances/" + self.instance)
        self.stop()
        return status

    def stop(self):
        self.alive = False
        self.socket.close()


def call(method, address, path, body=None, timeout=1.0, hops=2):
    """Status and body of an HTTP call; 0: no answer. Follows a 307 twice."""
    try:
        link = http.client.HTTPConnection(*address, timeout=timeout)
        data = body if isinstance(body, (bytes, type(None))) else \
            json.dumps(body).encode()
        link.request(method, path, data, {"Content-Type": "application/json"})
        answer = link.getresponse()
        content = answer.read()
        link.close()
    except (OSError, http.client.HTTPException):
        return 0, b""
    if answer.status == 307 and hops:
        where = re.match(r"http://([\d.]+):(\d+)(/.*)",
                         answer.getheader("Location"))
        return call(method, (where[1], int(where[2])), where[3], body, timeout,
                    hops - 1)
    return answer.status, content


class Machine:
    """A machine with its addresses and its processes, one a role."""

    def __init__(self, deployment, name, kind, zone, ip, roles, service=None):
        self.deployment, self.name, self.kind = deployment, name, kind
        self.zone, self.ip, self.roles, self.service = zone, ip, roles, service
        ports = deployment.ports
        self.datagram = (ip, ports["datagram"])
        self.ready = (ip, ports["ready"])
        self.control = (ip, ports["control"])
        self.outbound = (ip, ports["outbound"])
        self.app = (ip, ports["app"])
        self.processes = {}
        self.starts = 0

    def fields(self, role, bootstrap):
        deployment, ports = self.deployment, self.deployment.ports
        data = deployment.folder / f"data-{self.name}"
        data.mkdir(exist_ok=True)
        out = {"nodeName": self.name, "role": role, "machineClass": self.kind,
               "ip": self.ip, "zone": self.zone, "region": "r",
               "internalPorts": [ports["internal"], ports["internal"] + 15],
               "seeds": ["%s:%d" % seed for seed in deployment.seeds],
               "bootstrap": bootstrap, "lossCounts": self.kind == "front",
               "heartbeatIntervalMs": int(deployment.heartbeat_s * 1000), "discovery": "local",
               "entry": "announce", "hashMode": "steady",
               "deploymentMode": "agent", "config_mode": "highest",
               "contracts": ["base", "drain", "config", "cost", "recover",
                             "flows"],
               "zones": {zone: "r" for zone in deployment.zones},
               "bindAddrs": {
                   "datagramAddr": "%s:%d" % self.datagram,
                   "ready": "%s:%d" % self.ready,
                   "outbound": "%s:%d" % self.outbound,
                   "control": "%s:%d" % self.control},
               "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
               "bounds": {"seedLagS": 3, "addrReuseS": 2,
                          "stabilityWindowMs": 4000, "ackMs": 5000,
                          "catchUpS": 4, "drainMs": 3000, "graceS": 6,
                          "lossSlackMs": 200, "configApplyMs": 3000,
                          "rollbackSlackMs": 250, "maxStretchMs": 12000,
                          "recoveryS": 12, "flowWindowMs": 2000,
                          "maxFlowS": 60}}
        if "control" in role:
            out["dataDir"] = str(data)
        if self.kind == "side":
            out["app"], out["service"] = "%s:%d" % self.app, self.service
        return out

    def start(self, role, bootstrap=False):
        deployment = self.deployment
        definition = deployment.deploy["roles"][role]
        template = (ROOT / definition["template"]).read_text()
        boot = deployment.folder / f"{self.name}-{role}.toml"
        boot.write_text(render(template, self.fields(role, bootstrap)))
        words = [str(boot) if word == "/etc/toucanmill/boot.toml" else word
                 for word in definition["run"].split()]
        log = open(deployment.folder / f"{self.name}-{role}.log", "ab")
        environment = {"PATH": os.environ["PATH"], "HOME": os.environ["HOME"],
                       "TOUCANMILL_CONFIG": str(boot)}
        self.processes[role] = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()

    def restart(self, role, how=signal.SIGTERM, pause=0.2, limit=6.0):
        """The platform's stop: SIGTERM, SIGKILL after graceS, start again."""
        process = self.processes[role]
        process.send_signal(how)
        try:
            process.wait(limit)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        time.sleep(pause)
        self.start(role)

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def lookup(scopes, path):
    if path in (".", "@"):
        return scopes[-1][path]
    for scope in reversed(scopes):
        value = scope.get(".") if "." in scope else scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def plain(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return ",".join(map(plain, value)) if isinstance(value, list) else str(value)


def render(template, fields):
    """Fills a template as DEPLOY.md tells."""
    def expand(source, scopes):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def one(match):
            value = lookup(scopes, match[2])
            if match[1] == "^":
                return "" if value else expand(match[3], scopes)
            if not value:
                return ""
            if isinstance(value, (list, dict)):
                items = list(value.items()) if isinstance(value, dict) else \
                    list(enumerate(value))
                return "".join(
                    expand(match[3].replace("{{,}}", "," if i + 1 < len(items)
                                            else ""),
                           scopes + [{".": item, "@": key}])
                    for i, (key, item) in enumerate(items))
            return expand(match[3], scopes + [{".": value, "@": ""}])
        source = section.sub(one, source)
        return re.sub(r"\{\{([\w.@]+)\}\}",
                      lambda match: plain(lookup(scopes, match[1])), source)
    return expand(template, [fields])


def is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


class Deployment:
    """Fronts with control and balancer, sides with a target each."""

    def __init__(self, record_path, services, fronts=3, zones=("za", "zb", "zc"),
                 heartbeat_s=0.77, states_birth=True):
        self.record = Record(record_path)
        self.heartbeat_s, self.states_birth = heartbeat_s, states_birth
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="toucanmill-case-"))
        self.key = os.urandom(8)
        self.zones = list(zones)
        draw = random.SystemRandom()
        while True:
            self.net = f"127.{draw.randrange(60, 250)}.{draw.randrange(1, 250)}"
            first = draw.randrange(12000, 30000)
            self.ports = {"datagram": first, "ready": first + 1,
                          "control": first + 2, "outbound": first + 3,
                          "app": first + 4, "internal": first + 10}
            if all(is_free(f"{self.net}.{i}", port) for i in (10, 40, 200)
                   for port in (*self.ports.values(), *METRICS_PORTS)):
                break
        self.public = (f"{self.net}.200", first + 40)
        self.fronts, self.sides, self.targets = [], [], []
        self.seeds = []
        for i in range(fronts):
            machine = Machine(self, f"front-{i + 1}", "front",
                              self.zones[i % len(self.zones)],
                              f"{self.net}.{10 + i}", ["control", "balancer"])
            self.fronts.append(machine)
        self.seeds = [machine.control for machine in self.fronts[:3]]
        for i, service in enumerate(services):
            machine = Machine(self, f"side-{i + 1}", "side",
                              self.zones[i % len(self.zones)],
                              f"{self.net}.{40 + i}", ["agent"], service)
            self.sides.append(machine)
        self.router = Router(self)

    def start(self):
        for machine in self.fronts:
            for role in machine.roles:
                machine.start(role, bootstrap=True)
        for i, machine in enumerate(self.sides):
            machine.start("agent", bootstrap=True)
            self.add_target(machine, i + 1)
        self.router.start()

    def add_target(self, machine, index):
        target = Target(self, machine, machine.service, index,
                        self.states_birth)
        self.targets.append(target)
        target.start()
        return target

    def operate(self, method, path, body=None, limit=12.0):
        """An order of the operator, sent to node after node until it is
        acknowledged or refused; returns the status."""
        until, wait = time.monotonic() + limit, 0.1
        nodes = [machine.control for machine in self.fronts]
        random.shuffle(nodes)
        status = 0
        while time.monotonic() < until:
            nodes.append(nodes.pop(0))
            status, content = call(method, nodes[-1], path, body)
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                return status, content
            time.sleep(wait)
            wait = min(2 * wait, 1.0)
        return status, b""

    def end(self):
        self.router.alive = False
        for target in self.targets:
            if target.alive:
                target.stop()
        for machine in self.fronts + self.sides:
            machine.end()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


class Router(threading.Thread):
    """Sends each packet of a client to a balancer that is in rotation: by a
    rendezvous hash, as `hashMode` steady does. Polls readiness twice a second;
    a node is out after two misses."""

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self.deployment, self.alive = deployment, True
        self.misses = {}

    def run(self):
        while self.alive:
            for machine in self.deployment.fronts:
                status, _ = call("GET", machine.ready, "/toucanmill/readiness",
                                 timeout=0.4)
                before = self.misses.get(machine.name, 2)
                self.misses[machine.name] = 0 if status == 200 else before + 1
            time.sleep(0.5)

    def in_rotation(self):
        fronts = self.deployment.fronts
        good = [m for m in fronts if self.misses.get(m.name, 2) < 2]
        return good if 2 * len(good) >= len(fronts) else fronts

    def balancer_of(self, flow):
        return max(self.in_rotation(),
                   key=lambda machine: zlib.crc32(repr((machine.name,
                                                        flow)).encode()))


class Client(threading.Thread):
    """One client address; flows from it have ports of their own."""

    def __init__(self, deployment, index):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.ip = f"{deployment.net}.{220 + index}"
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.ip, deployment.ports["datagram"]))
        self.socket.settimeout(0.02)
        self.flows, self.next_port = {}, 40001
        self.lock, self.alive = threading.RLock(), True
        self.start()

    def run(self):
        while self.alive:
            try:
                octets = self.socket.recv(4096)
            except socket.timeout:
                octets = None
            with self.lock:
                if octets:
                    packet = Packet.decode(octets)
                    flow = self.flows.get(packet.destination[1])
                    if flow:
                        flow.on_packet(packet)
                now = time.monotonic()
                for flow in list(self.flows.values()):
                    flow.tick(now)

    def open(self, public=None):
        with self.lock:
            flow = ClientFlow(self, self.next_port,
                              public or self.deployment.public)
            self.next_port += 1
            self.flows[flow.port] = flow
        return flow


class ClientFlow:
    """A flow of a client. `events` tells what it has seen."""

    def __init__(self, client, port, public):
        self.client, self.port, self.public = client, port, public
        self.record = client.deployment.record
        self.seq = random.randrange(1 << 31)
        self.end, self.state = None, "opening"
        self.began, self.copies = time.monotonic(), 0
        self.reset_at, self.reset_seq, self.answers = None, None, {}
        self.foreign = []
        self.send_syn()

    def send(self, packet):
        flow = ((self.client.ip, self.port), self.public)
        machine = self.client.deployment.router.balancer_of(flow)
        self.client.socket.sendto(packet.encode(self.client.deployment.key),
                                  machine.datagram)

    def send_syn(self):
        self.send(Packet(SYN, (self.client.ip, self.port), self.public,
                         self.seq, self.copies))

    def on_packet(self, packet):
        if packet.flags & RST and packet.total == 0:
            return self.on_reset(packet)
        if packet.total != packet.sum(self.client.deployment.key):
            self.foreign.append(packet.flags)
            return None
        if packet.flags & SYN:
            if self.state == "opening":
                self.end = FlowEnd(self.send, (self.client.ip, self.port),
                                   self.public, self.seq + 1, packet.seq + 1)
                self.state = "open"
                self.end.acknowledge()
                self.record("client", self.port, "flow open")
            return None
        if self.end is None or self.state != "open":
            return None
        if packet.flags & RST:
            self.state = "reset by target"
            self.record("client", self.port, "reset by the target")
            return None
        if self.end.on_packet(packet):
            self.read()
        return None

    def on_reset(self, packet):
        if self.state == "opening":
            self.state = "refused"
            self.record("client", self.port, "refused by a reset")
        elif self.state == "open":
            distance = (packet.seq - self.end.expected) & 0xFFFFFFFF
            if min(distance, (1 << 32) - distance) > RESET_WINDOW:
                return
            self.state, self.reset_at = "reset", time.monotonic()
            self.record("client", self.port, "RESET by the system on an open "
                        "flow; waiting for",
                        [k for k, v in self.answers.items() if v is None])

    def read(self):
        while b"\r\n\r\n" in self.end.received:
            head, _, rest = self.end.received.partition(b"\r\n\r\n")
            length = int(re.search(rb"Content-Length: (\d+)", head)[1])
            if len(rest) < length:
                return
            body, self.end.received = rest[:length], rest[length:]
            request = body.split()[1].decode()
            seal = int(re.search(rb"Server-Seal: (\d+)", head)[1])
            good = seal == zlib.crc32(self.client.deployment.key + body)
            self.answers[request] = body.split()[0].decode() if good else "BAD"
            self.record("client", self.port, "answer", request, "from",
                        self.answers[request])

    def request(self, name, work=0.02, method="GET", size=0):
        with self.client.lock:
            self.answers[name] = None
            self.record("client", self.port, "sends", method, name)
            self.end.write(f"{method} /x HTTP/1.1\r\nHost: h\r\nRequest-Id: "
                           f"{name}\r\nWork-S: {work}\r\nContent-Length: "
                           f"{size}\r\n\r\n".encode() + b"b" * size)

    def close(self):
        with self.client.lock:
            if self.state == "open" and not self.end.finished:
                self.end.write(b"", finish=True)

    def tick(self, now):
        if self.state == "opening":
            waited = now - self.began
            if self.copies < 2 and waited >= SYN_COPIES_S[self.copies]:
                self.copies += 1
                self.send_syn()
            if waited >= OPEN_LIMIT_S:
                self.state = "not open"
                self.record("client", self.port, "no answer to the SYN")
        elif self.state == "open":
            self.end.tick(now)


def run(case, deployment):
    """Plays a case; returns its exit code: 1 the rule was broken, 0 it held,
    2 the case could not run."""
    def interrupted(*_):
        raise InterruptedError("the case was interrupted")
    signal.signal(signal.SIGTERM, interrupted)
    signal.signal(signal.SIGINT, interrupted)
    try:
        broken = case(deployment)
    except (OSError, TimeoutError, InterruptedError) as failure:
        deployment.record("the case could not run:", repr(failure))
        return 2
    finally:
        deployment.end()
    return 1 if broken else 0


def wait_until(check, limit, what):
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if check():
            return
        time.sleep(0.05)
    raise TimeoutError(what)


def configuration(version, routes, services):
    """`routes`: (name, address, type, targets); targets: service or weights."""
    out = []
    for name, (host, port), kind, targets in routes:
        item = {"name": name, "host": host, "pathPrefix": f"/{port}/",
                "routeType": kind, "timeoutMs": 3000, "latencyGoalMs": 300,
                "priority": 1, "maxAttempts": 2}
        if isinstance(targets, str):
            item["service"] = targets
        else:
            item["trafficSplit"] = [{"service": service, "weight": weight}
                                    for service, weight in targets]
        out.append(item)
    return {"version": version, "routes": out,
            "services": [{"name": service, "healthPath": "/health",
                          "maxConns": 2000, "protocol": "h1", "tls": False}
                         for service in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
