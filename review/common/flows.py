"""Clients and targets of flows, by PROTOCOL.md."""
import socket
import struct
import threading
import time

import system as review

HEAD = struct.Struct(">IIIIHBBHHII")
RST, FIN, SYN, ACK, BOUNCED = 1, 8, 16, 32, 64


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def encode(flags, source, destination, seq, ack, data=b""):
    return HEAD.pack(seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, 0, 1, len(data), flags,
                     0, source[1], destination[1], number(destination[0]),
                     number(source[0])) + data


class Packet:
    def __init__(self, octets):
        (self.seq, self.ack, self.echo, self.sum, _, self.flags, _, sport, dport,
         dst, src) = HEAD.unpack(octets[:HEAD.size])
        self.source = (socket.inet_ntoa(struct.pack(">I", src)), sport)
        self.destination = (socket.inet_ntoa(struct.pack(">I", dst)), dport)
        self.data = octets[HEAD.size:]


class Target(threading.Thread):
    """Serves flows beside its agent and sends heartbeats to it."""

    def __init__(self, system, agent, service, name):
        super().__init__(daemon=True)
        self.system, self.agent, self.service = system, agent, service
        self.instance, self.state, self.beat = "i-" + name, "ready", 0
        self.flows, self.resets_sent = {}, 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((agent.ip, system.app_port))
        self.over = threading.Event()
        agent.extra.update(service=service,
                           app=f"{agent.ip}:{system.app_port}")

    def start(self):
        super().start()
        threading.Thread(target=self.beats, daemon=True).start()

    def beats(self):
        url = (f"http://{self.agent.ip}:{self.system.control_port}"
               f"/toucanmill/instances/{self.instance}")
        while True:
            self.beat += 1
            review.call("PUT", url, {
                "service": self.service, "address": self.agent.extra["app"],
                "zone": self.agent.zone, "version": "v1", "slots": 4,
                "state": self.state, "coldLeftMs": 0, "seqNo": self.beat})
            if self.over.wait(review.HEARTBEAT_MS / 1000):
                return

    def run(self):
        while not self.over.is_set():
            octets = self.socket.recv(2048)
            answer = self.handle(octets, Packet(octets))
            self.socket.sendto(answer, (self.agent.ip,
                                        self.system.outbound_port))

    def handle(self, octets, packet):
        key = (packet.source, packet.destination)
        if packet.flags & SYN:
            own = self.flows.setdefault(key, 1000 + 7919 * len(self.flows))
            return encode(SYN | ACK, key[1], key[0], own, packet.seq + 1)
        own = self.flows.get(key)
        if own is None:
            bounced = bytearray(octets)
            bounced[18] |= BOUNCED
            bounced[19] = 0
            return bytes(bounced)
        body = b"HTTP/1.1 200 OK\r\n\r\n" + self.instance.encode() \
            if packet.data else b""
        return encode(ACK, key[1], key[0], own + 1,
                      packet.seq + len(packet.data), body)


class Flow:
    """One client's flow: opened once, then a small request at a time."""

    def __init__(self, system, host, port, number_):
        self.system, self.public = system, (host, port)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.end = (f"{system.net}.13.{number_}", 40001)
        self.socket.bind((self.end[0], system.data_port))
        self.seq, self.ack, self.reset = 101, 0, None

    def exchange(self, balancer, packets, limit):
        """Sends the packets at their times until an answer comes."""
        begun, sent = time.monotonic(), 0
        while time.monotonic() - begun < limit and self.reset is None:
            if sent < len(packets) and \
                    time.monotonic() - begun >= packets[sent][0]:
                self.socket.sendto(packets[sent][1],
                                   (balancer().ip, self.system.data_port))
                sent += 1
            self.socket.settimeout(0.02)
            try:
                answer = Packet(self.socket.recv(2048))
            except (socket.timeout, TimeoutError):
                continue
            if answer.destination != self.end:
                continue
            if answer.flags & RST:
                self.reset = time.monotonic()
                return None
            if answer.flags & SYN or answer.ack >= self.seq:
                return answer
        return None

    def open(self, balancer):
        copies = [(at, encode(SYN, self.end, self.public, 100, copy))
                  for copy, at in enumerate((0.0, 0.2, 0.6))]
        answer = self.exchange(balancer, copies, 1.4)
        if answer is None:
            return False
        self.ack = answer.seq + 1
        return True

    def request(self, balancer, limit=2.5):
        """Whether the response came; retransmits as PROTOCOL.md has it."""
        data = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        packet = encode(ACK, self.end, self.public, self.seq, self.ack, data)
        self.seq += len(data)
        times = (0.0, 0.2, 0.6, 1.4)
        answer = self.exchange(balancer, [(at, packet) for at in times], limit)
        return answer is not None and answer.data.startswith(b"HTTP/1.1 200")
