"""Processes and stand-ins of the relay path on loopback addresses.

Upstreams end flows themselves, as on the users' platform; callers speak the
same packets. scripts/relay_path and scripts/fault_soak drive them.
"""
import dataclasses
import json
import os
import signal
import socket
import struct
import subprocess
import threading
import time
import urllib.error
import urllib.request

HEAD = struct.Struct(">IIIIHBBHHII")
RST, FIN, SYN, ACK, BOUNCED = 1, 8, 16, 32, 64

DATA_PORT = 21072      # of balancers, agents and callers
RPC_PORT = 21020       # at which control instances are reached
LISTEN_PORT = 21021    # of control instances behind a proxy
API_PORT = 21066
OUTBOUND_PORT = 21062
UPSTREAM_PORT = 21080
PUBLIC = ("198.18.0.1", 443)
SERVICE = "notes"

ANNOUNCE_INTERVAL_S = 0.3
START_LIMIT_S = 60.0   # of the whole system


def number(address):
    return struct.unpack(">I", socket.inet_aton(address))[0]


def text(address):
    return socket.inet_ntoa(struct.pack(">I", address))


@dataclasses.dataclass(frozen=True)
class Packet:
    """Head of a packet with its data."""
    flags: int
    source: tuple
    destination: tuple
    seq: int = 0
    ack: int = 0
    data: bytes = b""

    def encode(self):
        return HEAD.pack(self.seq, self.ack, 0, 0, len(self.data), self.flags,
                         0, self.source[1], self.destination[1],
                         number(self.destination[0]),
                         number(self.source[0])) + self.data

    @staticmethod
    def decode(octets):
        (seq, ack, _, _, _, flags, _, sport, dport, dst,
         src) = HEAD.unpack(octets[:HEAD.size])
        return Packet(flags, (text(src), sport), (text(dst), dport), seq, ack,
                      octets[HEAD.size:])


def marked_bounced(octets):
    """The packet as an upstream returns what it does not hold."""
    bounced = bytearray(octets)
    bounced[18] |= BOUNCED
    bounced[19] = 0
    return bytes(bounced)


class Upstream(threading.Thread):
    """Ends flows itself; bounces packets of flows that it does not hold."""

    def __init__(self, address, index):
        super().__init__(daemon=True)
        self.address, self.index = address, index
        self.lives, self.state, self.sequence = 0, "ready", 0
        self.clock_offset_s = 0.0
        self.data_centre = "z"
        self.cold_s = 0.0         # after each start
        self.openings = []        # (time, caller) of this life
        self.begin_life()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, UPSTREAM_PORT))

    def begin_life(self):
        """A new start holds nothing of before."""
        self.lives += 1
        self.instance = f"u-{self.index}-{self.lives}"
        self.state, self.sequence = "ready", 0
        self.born = int((time.time() + self.clock_offset_s) * 1e3)
        self.flows, self.openings = {}, []
        self.started = time.monotonic()

    def cold_left_s(self):
        return max(0.0, self.started + self.cold_s - time.monotonic())

    def first_sequence(self, caller):
        """Names the upstream and its life, so that a caller can tell them."""
        return (self.index << 24) | ((self.lives & 0xFF) << 16) | (caller[1])

    def run(self):
        while True:
            octets = self.socket.recv(2048)
            answer = self.handle(octets, Packet.decode(octets))
            if answer:
                self.socket.sendto(answer, (self.address, OUTBOUND_PORT))

    def handle(self, octets, packet):
        flow = (packet.source, packet.destination)
        if packet.flags & SYN:
            own = self.flows.setdefault(flow, self.first_sequence(flow[0]))
            self.openings.append((time.monotonic(), flow[0]))
            return Packet(SYN | ACK, flow[1], flow[0], own,
                          packet.seq + 1).encode()
        own = self.flows.get(flow)
        if own is None or packet.ack != own + 1:
            return marked_bounced(octets)
        self.serve(flow, packet)
        return Packet(ACK, flow[1], flow[0], own + 1,
                      packet.seq + len(packet.data),
                      self.instance.encode() + b" " + packet.data).encode()

    def serve(self, flow, packet):
        """A request arrived, or a copy of it."""

    def announce(self):
        self.sequence += 1
        return call("PUT", self.address, f"/toucanmill/instances/{self.instance}",
                    self.announcement())[0] == 200

    def announcement(self):
        return {"service": SERVICE, "address": f"{self.address}:{UPSTREAM_PORT}",
                "zone": self.data_centre, "version": "v1", "slots": 64,
                "state": self.state,
                "coldLeftMs": int(self.cold_left_s() * 1e3),
                "seqNo": self.sequence, "born": self.born}


def call(method, address, path, body=None, timeout=2):
    """Status and body; follows one redirect. Status 0: no answer."""
    request = urllib.request.Request(
        f"http://{address}:{API_PORT}{path}", method=method,
        data=None if body is None else json.dumps(body).encode())
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as refused:
        if refused.code == 307:
            leader = refused.headers["Location"].split("//")[1].split(":")[0]
            return call(method, leader, path, body, timeout)
        return refused.code, refused.read()
    except OSError:
        return 0, b""


class System:
    """The daemons, each with its settings and log in the work folder."""

    def __init__(self, build, folder, net="127.0", control=3, balancers=2,
                 agents=3, proxied=False, data_centres=("z",)):
        self.build, self.folder, self.net = build, folder, net
        self.running, self.proxied = {}, proxied
        self.control = [f"{net}.10.{i + 1}" for i in range(control)]
        self.balancers = [f"{net}.11.{i + 1}" for i in range(balancers)]
        self.agents = [f"{net}.12.{i + 1}" for i in range(agents)]
        self.seeds = self.control[:3]
        self.started = set()
        self.data_centres = list(data_centres)
        self.extra = {}           # role: further lines of its section
        self.builds = {}          # address: build, where it is another one
        self.running_builds = {}  # address: build of its process
        self.ended_alone = []     # (address, exit code)
        self.start_lock, self.over = threading.Lock(), False

    def data_centre(self, address):
        return self.data_centres[(int(address.split(".")[3]) - 1) %
                                 len(self.data_centres)]

    def role(self, address):
        return {"10": "control", "11": "balancer",
                "12": "agent"}[address.split(".")[2]]

    def alike(self, address):
        """The instances of its role."""
        return {"control": self.control, "balancer": self.balancers,
                "agent": self.agents}[self.role(address)]

    def data_folder(self, address):
        return os.path.join(self.folder, "data-" + address)

    def settings(self, address):
        return self.own_settings(address) + self.extra.get(self.role(address), "")

    def own_settings(self, address):
        role = self.role(address)
        seeds = ", ".join(f'"{seed}:{API_PORT}"' for seed in self.seeds)
        common = (f'role = "{role}"\nname = "{role}-{address.split(".")[-1]}"\n'
                  f'data_centre = "{self.data_centre(address)}"\napi = "{address}:{API_PORT}"\n'
                  f"control_seeds = [{seeds}]\ncontrol_rpc_port = {RPC_PORT}\n"
                  f"stop_limit_ms = 6000\n[{role}]\n")
        if role == "control":
            first = "false" if address in self.started else "true"
            listen = f'listen = "{address}:{LISTEN_PORT}"\n' if self.proxied else ""
            return common + (f'mode = "seeds"\nrpc = "{address}:{RPC_PORT}"\n'
                             f'folder = "{self.data_folder(address)}"\n'
                             f"bootstrap = {first}\nelection_timeout_ms = 500\n"
                             f"lease_ms = 2500\n{listen}")
        if role == "balancer":
            return common + (f'mode = "direct"\ndata = "{address}:{DATA_PORT}"\n'
                             f'relay = "{address}:{RPC_PORT}"\n')
        return common + (f'mode = "relay"\ndata = "{address}:{DATA_PORT}"\n'
                         f'upstream = "{address}:{UPSTREAM_PORT}"\n'
                         f'outbound = "{address}:{OUTBOUND_PORT}"\n'
                         f'service = "{SERVICE}"\nannounce_interval_ms = 300\n')

    def write_settings(self, address):
        path = os.path.join(self.folder, address + ".toml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(self.settings(address))
        return path

    def start(self, address):
        with self.start_lock:
            if not self.over:
                self.start_process(address)

    def start_process(self, address):
        path = self.write_settings(address)
        build = self.builds.get(address, self.build)
        self.started.add(address)
        self.running_builds[address] = build
        with open(os.path.join(self.folder, address + ".log"), "ab") as log:
            self.running[address] = subprocess.Popen(
                [os.path.join(build, "toucanmilld"), path], stdout=log,
                stderr=log)

    def tool(self, *arguments):
        """Exit code and output of the command-line tool."""
        control = ",".join(f"{address}:{RPC_PORT}" for address in self.control)
        done = subprocess.run(
            [os.path.join(self.build, "toucanmill"), "--control", control,
             "--timeout-ms", "3000", *arguments], stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT, check=False)
        return done.returncode, done.stdout.decode()

    def start_all(self):
        for address in self.control + self.balancers + self.agents:
            self.start(address)

    def wait_for_handlers(self, address):
        """Until a process handles SIGTERM, it serves nothing and is ended by the
        signal itself. It ignores SIGPIPE from then on."""
        def handles_stop():
            return self.running[address].poll() is not None or \
                self.has_signal(address, "SigIgn", signal.SIGPIPE) and \
                not self.loses_stop(address)
        wait_until(f"signal handlers of {address}", handles_stop)

    def loses_stop(self, address):
        """Earlier builds end at once if the main thread is not waiting for the
        signal, which it takes out of its mask while it waits."""
        return self.running_builds[address] != self.build and \
            self.has_signal(address, "SigBlk", signal.SIGTERM)

    def has_signal(self, address, mask, number):
        """Whether a mask of the main thread has the signal."""
        status = f"/proc/{self.running[address].pid}/status"
        with open(status, encoding="ascii") as lines:
            masks = dict(line.split(":", 1) for line in lines)
        return bool(int(masks[mask], 16) >> (number - 1) & 1)

    def end(self, address, how):
        if how == signal.SIGTERM:
            self.wait_for_handlers(address)
        self.note_ended(address)
        process = self.running.pop(address)
        process.send_signal(how)
        process.wait(timeout=20)
        return process.returncode

    def note_ended(self, address):
        """Records a process that ended without a signal."""
        code = self.running[address].poll()
        if code is not None:
            self.ended_alone.append((address, code))

    def signal(self, address, how):
        self.running[address].send_signal(how)

    def end_all(self):
        with self.start_lock:  # a restart that is under way starts no more
            self.over = True
        for address, process in self.running.items():
            self.note_ended(address)
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


def wait_until(what, check, limit=START_LIMIT_S):
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if check():
            return
        time.sleep(0.1)
    raise TimeoutError(what)


def is_ready(address):
    return call("GET", address, "/toucanmill/readiness")[0] == 200


def takes_flows(balancer, address, port):
    """A new flow from this address and port gets an answer that accepts it."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as caller:
        caller.bind((address, DATA_PORT))
        caller.settimeout(0.2)
        opening = Packet(SYN, (address, port), PUBLIC, 100)
        caller.sendto(opening.encode(), (balancer, DATA_PORT))
        try:
            return bool(Packet.decode(caller.recv(2048)).flags & SYN)
        except socket.timeout:
            return False


def configuration(version, objectives=({},), cold_per_s=0):
    """One route in use, and as many others as the version says; they have the
    objectives in turn."""
    names = [("r", PUBLIC[1])] + [(f"x{i}", 1000 + i) for i in range(version)]
    routes = [{"name": name, "host": PUBLIC[0], "pathPrefix": f"/{port}/",
               "timeoutMs": 1000, "service": SERVICE,
               **objectives[i % len(objectives)]}
              for i, (name, port) in enumerate(names)]
    service = {"name": SERVICE, **({"coldPerS": cold_per_s} if cold_per_s else {})}
    return {"version": version, "routes": routes, "services": [service],
            "limits": {"idleTimeoutMs": 15000}}


def announce_all(upstreams, stopping):
    """Keeps announcing until the event is set; each upstream by itself."""
    def forever(upstream):
        while not stopping.wait(ANNOUNCE_INTERVAL_S):
            upstream.announce()
    for upstream in upstreams:
        threading.Thread(target=forever, args=(upstream,), daemon=True).start()
