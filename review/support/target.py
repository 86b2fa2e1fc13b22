"""A target by PROTOCOL.md: it ends flows and reports itself to its node."""
import http.client
import json
import random
import re
import socket
import threading
import time

from packets import ACK, FIN, RST, SYN, Packet, bounced

ACK_LIMIT_S = 1.0  # a heartbeat that is answered later is not acknowledged


class Flow:
    """The target's end of a flow."""

    def __init__(self, own, peer):
        self.own, self.peer = own + 1, peer  # next positions of both ends
        self.first = own
        self.open = self.ended = False
        self.last = None                 # the latest answer, for copies
        self.received = b""


class Target:
    """One place for targets. Each start is a new incarnation."""

    def __init__(self, record, name, app, outbound, control, service, zone,
                 interval_s, slots=4, says_birth=False):
        self.record, self.name, self.app = record, name, app
        self.outbound, self.control = outbound, control
        self.service, self.zone, self.slots = service, zone, slots
        self.interval_s, self.says_birth = interval_s, says_birth
        self.random = random.Random(name)
        self.starts, self.running = 0, False
        self.lock = threading.RLock()
        self.over = threading.Event()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(app)
        threading.Thread(target=self.serve, daemon=True).start()

    def start(self, instance=None):
        """A new incarnation, which knows nothing of before; with a new id
        unless it has an earlier one."""
        with self.lock:
            self.starts += 1
            self.instance = instance or \
                f"i-{self.name}-{self.starts}-{random.getrandbits(32):08x}"
            self.sequence, self.state = 0, "ready"
            self.born_ms = int(time.time() * 1000)
            self.flows, self.resets_sent = {}, 0
            self.running, self.started = True, time.monotonic()
            self.drain_acked_at = None
        self.record.note(f"{self.instance} starts")
        threading.Thread(target=self.beat, args=(self.starts,),
                         daemon=True).start()

    def crash(self):
        with self.lock:
            self.running = False
        self.record.note(f"{self.instance} crashes")

    def stop(self):
        self.over.set()
        self.running = False

    # Heartbeats.

    def body(self):
        value = {"service": self.service,
                 "address": f"{self.app[0]}:{self.app[1]}", "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state,
                 "coldLeftMs": 0, "seqNo": self.sequence}
        if self.says_birth:
            value["born"] = self.born_ms
        return value

    def beat(self, start):
        while not self.over.is_set() and self.running and self.starts == start:
            self.announce()
            self.over.wait(self.interval_s * self.random.uniform(0.95, 1.05))

    def announce(self):
        """Sends the next heartbeat; returns whether it was acknowledged."""
        with self.lock:
            self.sequence += 1
            instance, body, state = self.instance, self.body(), self.state
        status = put(self.control, instance, body)
        if status == 200 and state == "draining" and not self.drain_acked_at:
            self.drain_acked_at = time.monotonic()
            self.record.note(f"{instance}: draining is acknowledged")
        return status == 200

    # Flows.

    def serve(self):
        while True:
            octets = self.socket.recv(2048)
            with self.lock:
                if self.running:
                    self.handle(octets, *Packet.decode(octets))

    def send(self, octets):
        self.socket.sendto(octets, self.outbound)

    def handle(self, octets, packet, is_intact):
        if not is_intact or packet.flags & SYN and packet.flags & ACK:
            self.record.breach("UNASKED", f"{self.instance}: a packet that its "
                                          "sender did not write so")
            return
        key = (packet.source, packet.destination)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            return self.accept(key, packet)
        # A flow opens by a packet that acknowledges the target's own SYN+ACK.
        if flow is None or not flow.open and packet.ack != flow.first + 1:
            return self.send(bounced(octets))
        if packet.flags & RST:
            flow.ended = True
            return None
        if flow.ended:
            return self.answer_ended(key, flow, packet)
        flow.open = True
        return self.receive(key, flow, packet)

    def accept(self, key, packet):
        flow = self.flows.get(key)
        if flow is None:
            flow = Flow(self.random.getrandbits(30), packet.seq + 1)
            self.flows[key] = flow
            self.record.opened(self, key)
        if not flow.open:
            self.send(Packet(SYN | ACK, key[1], key[0], flow.first,
                             packet.seq + 1).encode())

    def answer_ended(self, key, flow, packet):
        if packet.data:
            self.resets_sent += 1
            self.send(Packet(RST | ACK, key[1], key[0], flow.own,
                             packet.seq + len(packet.data)).encode())
        elif packet.flags & FIN:
            self.send(Packet(ACK, key[1], key[0], flow.own,
                             packet.seq + 1).encode())

    def receive(self, key, flow, packet):
        if packet.data and packet.seq == flow.peer:
            flow.peer += len(packet.data)
            flow.received += packet.data
            if flow.received.endswith(b"\r\n\r\n"):
                self.run(key, flow)
                return
        elif packet.data and flow.last and packet.seq < flow.peer:
            self.send(flow.last)
            return
        if packet.flags & FIN:
            flow.ended = True
            self.send(Packet(FIN | ACK, key[1], key[0], flow.own,
                             flow.peer + 1).encode())
        elif packet.data:
            self.send(Packet(ACK, key[1], key[0], flow.own,
                             flow.peer).encode())

    def run(self, key, flow):
        request, flow.received = flow.received, b""
        found = re.search(rb"Request-Id: ([^\r]+)", request)
        name = found.group(1).decode() if found else "?"
        self.record.ran(self, name)
        body = f"{self.instance} ran {name}".encode()
        answer = (b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n"
                  b"Server-Seal: %s\r\n\r\n" % (len(body), name.encode())) + body
        flow.last = Packet(ACK, key[1], key[0], flow.own, flow.peer,
                           answer).encode()
        flow.own += len(answer)
        self.send(flow.last)


def put(control, instance, body):
    """Status of a heartbeat; 0: not acknowledged in time."""
    connection = http.client.HTTPConnection(*control, timeout=ACK_LIMIT_S)
    try:
        connection.request("PUT", f"/toucanmill/instances/{instance}",
                           json.dumps(body),
                           {"Content-Type": "application/json"})
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()
