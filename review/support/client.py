"""A client by PROTOCOL.md, with the platform's router in front of it."""
import http.client
import random
import select
import socket
import threading
import time
import zlib

from packets import ACK, RST, SYN, Packet, is_near

COPIES_AT_S = (0.0, 0.2, 0.6)  # of the opening packet
OPENING_LIMIT_S = 1.4
FIRST_REPEAT_S, LAST_REPEAT_S = 0.2, 1.6


class Router(threading.Thread):
    """Chooses a node by a steady hash over those in rotation."""

    def __init__(self, nodes, data_port, ready_port):
        super().__init__(daemon=True)
        self.nodes, self.data_port, self.ready_port = nodes, data_port, ready_port
        self.misses = {node: 2 for node in nodes}
        self.over = threading.Event()

    def run(self):
        while not self.over.wait(0.5):
            for node in self.nodes:
                good = self.is_ready(node)
                self.misses[node] = 0 if good else self.misses[node] + 1

    def is_ready(self, node):
        connection = http.client.HTTPConnection(node, self.ready_port,
                                                timeout=0.4)
        try:
            connection.request("GET", "/toucanmill/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def in_rotation(self):
        ready = [node for node in self.nodes if self.misses[node] < 2]
        return ready if 2 * len(ready) >= len(self.nodes) else self.nodes

    def node_for(self, source, destination):
        def score(node):
            return zlib.crc32(f"{source} {destination} {node}".encode())
        return max(self.in_rotation(), key=score)


class Client:
    """One address with many flows. A thread serves each flow."""

    def __init__(self, record, router, address, public):
        self.record, self.router = record, router
        self.address, self.public = address, public
        self.next_port = random.randrange(20000, 40000)
        self.flows, self.lock = {}, threading.Lock()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, router.data_port))
        self.over = threading.Event()
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        while not self.over.is_set():
            if not select.select([self.socket], [], [], 0.2)[0]:
                continue
            octets = self.socket.recv(2048)
            packet, is_intact = Packet.decode(octets)
            own_reset = packet.flags == RST and not packet.data and \
                octets[12:16] == bytes(4)
            if not is_intact and not own_reset:
                self.record.breach("MIXED", f"{self.address}: a packet that its "
                                            "sender did not write so")
                continue
            with self.lock:
                flow = self.flows.get((packet.destination, packet.source))
            if flow is not None:
                flow.take(packet, own_reset)

    def send(self, packet):
        node = self.router.node_for(packet.source, packet.destination)
        self.socket.sendto(packet.encode(), (node, self.router.data_port))
        return node

    def open_flow(self):
        """A flow that is open, or None."""
        with self.lock:
            self.next_port += 1
            flow = ClientFlow(self, (self.address, self.next_port))
            self.flows[(flow.end, self.public)] = flow
        return flow if flow.open() else None


class ClientFlow:
    """The client's end of a flow, with one request at a time."""

    def __init__(self, client, end):
        self.client, self.end, self.record = client, end, client.record
        self.first = random.getrandbits(30)
        self.own, self.peer = self.first + 1, None
        self.changed = threading.Condition()
        self.received, self.was_reset, self.reset_at = b"", None, None
        self.instance = None

    def take(self, packet, own_reset):
        with self.changed:
            if packet.flags & RST:
                opened = self.peer is not None
                if not opened or is_near(packet.seq, self.peer):
                    if not self.was_reset:
                        self.reset_at = time.monotonic()
                        self.was_reset = "system" if own_reset else "target"
            elif packet.flags & SYN and self.peer is None:
                self.peer = packet.seq + 1
            elif packet.data and packet.seq == self.peer:
                self.peer += len(packet.data)
                self.received += packet.data
            self.changed.notify_all()

    def open(self):
        begun = time.monotonic()
        for copy, at in enumerate(COPIES_AT_S):
            until = begun + (COPIES_AT_S + (OPENING_LIMIT_S,))[copy + 1]
            self.client.send(Packet(SYN, self.end, self.client.public,
                                    self.first, copy))
            with self.changed:
                self.changed.wait_for(
                    lambda: self.peer is not None or self.was_reset,
                    max(0.0, until - time.monotonic()))
                if self.peer is not None:
                    return True
                if self.was_reset:
                    return False
        return False

    def request(self, name, deadline_s):
        """The body of the answer; None: none came, or the flow was reset."""
        data = (f"GET / HTTP/1.1\r\nRequest-Id: {name}\r\n\r\n").encode()
        self.record.sent(name)
        packet = Packet(ACK, self.end, self.client.public, self.own, self.peer,
                        data)
        self.own += len(data)
        until, repeat = time.monotonic() + deadline_s, FIRST_REPEAT_S
        while time.monotonic() < until and not self.was_reset:
            self.client.send(packet)
            with self.changed:
                done = self.changed.wait_for(
                    lambda: self.was_reset or self.complete(),
                    min(repeat, until - time.monotonic()))
            if done and not self.was_reset:
                return self.take_answer(name)
            repeat = min(2 * repeat, LAST_REPEAT_S)
        return None

    def complete(self):
        head, _, body = self.received.partition(b"\r\n\r\n")
        return b"Content-Length: " in head and len(body) >= int(
            head.split(b"Content-Length: ")[1].split(b"\r")[0])

    def take_answer(self, name):
        with self.changed:
            _, _, body = self.received.partition(b"\r\n\r\n")
            self.received = b""
            acknowledged = self.peer
        body = body.decode()
        instance = body.split(" ")[0]
        if not body.endswith(f"ran {name}") or \
                self.instance not in (None, instance):
            self.record.breach("MIXED", f"{self.end}: answer of another request "
                                        f"or target: {body}")
        self.instance = instance
        self.record.answered(name, instance)
        self.client.send(Packet(ACK, self.end, self.client.public, self.own,
                                acknowledged))
        return body
