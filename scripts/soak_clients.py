"""Upstreams, callers and operators of the fault soak, and what they saw."""
import collections
import json
import random
import socket
import threading
import time

from relay_system import (ACK, DATA_PORT, PUBLIC, RST, SYN, Packet, Upstream,
                          call)

CALM_S = 4.0           # without a fault nearby, before a reset is a violation
DRAIN_LIMIT_S = 3.0    # a draining upstream gets no new flow after this
REQUEST_LIMIT_S = 6.0  # a caller gives up a request
COLD_S = 2.0           # an upstream is cold after its start


class Record:
    """What callers and upstreams saw, from all threads."""

    def __init__(self):
        self.lock = threading.Lock()
        self.problems = []
        self.runs = collections.defaultdict(set)  # request: flows
        self.disturbed = collections.defaultdict(float)  # address: until
        self.answered = 0
        self.answered_evacuated = 0  # on flows into evacuated data centres
        self.kept_out = 0            # new flows elsewhere meanwhile
        self.cold_openings = 0

    def problem(self, text):
        with self.lock:
            self.problems.append(f"{time.strftime('%X')} {text}")

    def disturb(self, address, seconds=0.0):
        until = time.monotonic() + seconds + CALM_S
        self.disturbed[address] = max(self.disturbed[address], until)

    def is_calm(self, address):
        return time.monotonic() > self.disturbed[address]


class SoakUpstream(Upstream):
    """Runs each request of a flow once and records it."""

    def __init__(self, address, index, soak):
        super().__init__(address, index)
        self.soak, self.record = soak, soak.record
        self.down = False
        self.data_centre = soak.system.data_centre(address)
        self.cold_s = COLD_S

    def begin_life(self):
        super().begin_life()
        self.served, self.drained_at = {}, None
        self.announced, self.cold_openings = False, collections.deque()

    def handle(self, octets, packet):
        if self.down:
            return None
        drained = self.drained_at
        if packet.flags & SYN and drained and \
                time.monotonic() > drained + DRAIN_LIMIT_S and \
                (packet.source, packet.destination) not in self.flows:
            self.record.problem(f"{self.instance}: a new flow while draining")
        if packet.flags & SYN and \
                (packet.source, packet.destination) not in self.flows:
            self.check_opening(packet.source)
        return super().handle(octets, packet)

    def check_opening(self, caller):
        orders = self.soak.orders
        if orders.is_closed(self.data_centre):
            self.record.problem(f"{self.instance}: a new flow of {caller} while "
                                f"{self.data_centre} is evacuated")
        elif any(map(orders.is_closed, orders.names)):
            self.record.kept_out += 1
        # Before its first announcement nobody can know that it is cold.
        if not self.announced or self.cold_left_s() <= 0:
            return
        now, recent = time.monotonic(), self.cold_openings
        self.record.cold_openings += 1
        recent.append(now)
        while recent[0] <= now - 1:
            recent.popleft()
        if len(recent) > 1.5 * self.soak.cold_per_s + 5:
            self.record.problem(f"{self.instance}: {len(recent)} new flows in a "
                                f"second, cold, rate {self.soak.cold_per_s}")

    def serve(self, flow, packet):
        if self.served.setdefault((flow, packet.seq), packet.data) != packet.data:
            self.record.problem(f"{self.instance}: a request was altered")
        with self.record.lock:
            self.record.runs[packet.data].add((self.instance, flow))

    def announce(self):
        if self.down:
            return False
        life = self.lives
        accepted = super().announce()
        if accepted and life == self.lives:
            self.announced = True
        if accepted and self.state == "draining" and not self.drained_at:
            self.drained_at = time.monotonic()
        return accepted


class Caller(threading.Thread):
    """Opens flows and sends requests on them until it is told to stop."""

    def __init__(self, index, soak):
        super().__init__(daemon=True)
        self.random = random.Random(f"{soak.seed} caller {index}")
        self.soak, self.index, self.flows = soak, index, 0
        self.address = f"{soak.system.net}.13.{index + 1}"
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((self.address, DATA_PORT))
        self.socket.settimeout(0.2)
        self.last_answer = 0.0

    def exchange(self, end, make, accept, limit):
        """The accepted answer, a reset, or None when time is over."""
        until, copies = time.monotonic() + limit, 0
        while time.monotonic() < until and not self.soak.over.is_set():
            if self.random.random() >= self.soak.packet_loss:
                to = self.random.choice(self.soak.in_rotation())
                self.socket.sendto(make(copies).encode(), (to, DATA_PORT))
            copies += 1
            try:
                while True:
                    answer = Packet.decode(self.socket.recv(2048))
                    if answer.destination == end and (answer.flags & RST or
                                                      accept(answer)):
                        return answer
            except socket.timeout:
                pass
        return None

    def run(self):
        while not self.soak.over.is_set():
            self.flows += 1
            self.use_flow((self.address, 30000 + self.flows))
            time.sleep(0.05)

    def use_flow(self, end):
        opened = self.exchange(end, lambda copies: Packet(SYN, end, PUBLIC, 100,
                                                          copies),
                               lambda packet: packet.flags & SYN, 1.4)
        if opened is None or opened.flags & RST:
            return
        upstream = self.soak.upstreams[opened.seq >> 24]
        life, at = upstream.lives, 101
        # Some flows outlast an evacuation by several seconds.
        most = 160 if self.index % 5 == 0 else 40
        for sent in range(self.random.randrange(3, most)):
            body = f"{end[0]}:{end[1]} request {sent}".encode()
            request = Packet(ACK, end, PUBLIC, at, opened.seq + 1, body)
            answer = self.exchange(end, lambda _: request,
                                   lambda packet: packet.data.endswith(body),
                                   REQUEST_LIMIT_S)
            if answer is None:
                return
            if answer.flags & RST:
                return self.check_reset(end, upstream, life)
            self.check_answer(end, answer, upstream, life)
            at += len(body)
            time.sleep(self.random.uniform(0.0, 0.3))

    def check_reset(self, end, upstream, life):
        if upstream.lives == life and not upstream.down and \
                self.soak.record.is_calm(upstream.address):
            self.soak.record.problem(
                f"{end[0]}:{end[1]}: reset, though {upstream.instance} lives")

    def check_answer(self, end, answer, upstream, life):
        self.soak.record.answered += 1
        if self.soak.orders.is_closed(upstream.data_centre):
            self.soak.record.answered_evacuated += 1
        self.last_answer = time.monotonic()
        by = answer.data.split()[0].decode()
        if by != f"u-{upstream.index}-{life}":
            self.soak.record.problem(f"{end[0]}:{end[1]}: answered by {by}")


class Operator(threading.Thread):
    """Declares configurations and reads them back at any control instance."""

    def __init__(self, soak):
        super().__init__(daemon=True)
        self.soak, self.random = soak, random.Random(f"{soak.seed} operator")
        self.version = self.accepted = 1

    def run(self):
        while not self.soak.over.is_set():
            time.sleep(self.random.uniform(0.1, 0.6))
            self.read() if self.random.random() < 0.6 else self.declare()

    def declare(self):
        self.version += self.random.randrange(1, 4)
        self.put(self.version)

    def put(self, version):
        status, body = call("PUT", self.random.choice(self.soak.system.control),
                            "/toucanmill/config",
                            self.soak.configuration(version), 1)
        if status == 200:
            self.accepted = max(self.accepted, version)
        elif 400 <= status < 500 and status != 429:
            self.soak.record.problem(f"version {version} refused: {status} {body}")

    def read(self):
        known = self.accepted
        status, body = call("GET", self.random.choice(self.soak.system.control),
                            "/toucanmill/config", timeout=1)
        if status != 200:
            return None
        found = json.loads(body)
        if found["version"] < known:
            self.soak.record.problem(
                f"version {found['version']} read after {known} was accepted")
        if found != self.soak.configuration(found["version"]):
            self.soak.record.problem(f"version {found['version']} is altered")
        return found["version"]
