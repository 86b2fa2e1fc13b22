"""Resident memory of a balancer while packets of many flows pass through it."""

import argparse
import pathlib
import socket
import struct
import sys
import tempfile
import time

from deployment import Deployment
from measure_control import resident_mb
from processes import metrics

PUBLIC = "203.0.113.10"
GUE_IPV4 = bytes([0, 4, 0, 0])  # version 0, no options, protocol IPv4
ACK = 0x10


def checksum(data):
    total = sum(struct.unpack(f"!{len(data) // 2}H", data))
    while total >> 16:
        total = (total & 0xFFFF) + (total >> 16)
    return ~total & 0xFFFF


def packet(flow):
    """A TCP packet without payload of one of 2^24 flows."""
    caller = struct.pack("!I", 0x0A000000 | flow >> 12)
    port = 1024 + (flow & 0xFFF)
    head = struct.pack("!BBHHHBBH4s4s", 0x45, 0, 40, 0, 0, 64, 6, 0, caller,
                       socket.inet_aton(PUBLIC))
    head = head[:10] + struct.pack("!H", checksum(head)) + head[12:]
    tcp = struct.pack("!HHIIBBHHH", port, 80, 1, 1, 0x50, ACK, 1024, 0, 0)
    return GUE_IPV4 + head + tcp


def measure(folder, sizes):
    system = Deployment(folder, 1)
    try:
        system.start_control(1)
        system.start_control(2)
        system.start_balancer(1)
        system.change("service", "create", "estimates", "--address",
                      f"{PUBLIC}:80")
        system.add_upstream("estimates", 1)
        system.wait_ready()
        time.sleep(12)  # ramp of the joined upstream
        balancer = system.balancers[1]
        out = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        rows = [(0, resident_mb(balancer.process.pid), 0)]
        for flows in sizes:
            before = metrics(balancer.http)["toucanmill_forwarded_total"]
            for flow in range(flows):
                out.sendto(packet(flow), ("127.0.0.1", balancer.data))
                if flow % 500 == 0:
                    time.sleep(0.005)
            time.sleep(1)
            after = metrics(balancer.http)["toucanmill_forwarded_total"]
            rows.append((flows, resident_mb(balancer.process.pid),
                         int(after - before)))
        return rows
    finally:
        system.stop_all()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--flows", type=int, nargs="+",
                        default=[2000, 20000, 200000])
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        for flows, memory, forwarded in measure(pathlib.Path(folder),
                                                options.flows):
            print(f"flows {flows}, forwarded {forwarded}, resident "
                  f"{memory:.1f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
