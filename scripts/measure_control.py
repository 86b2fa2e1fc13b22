"""Cost of control against the number of nodes: three control instances on the
loopback interface and one process that reports as many nodes.

Prints a row for each size: CPU and memory of the leader, octets for each node
and second, with the medians of several windows.
"""

import argparse
import os
import pathlib
import statistics
import sys
import tempfile
import time

from deployment import Deployment
from processes import Process, address, wait_until

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")")[1]
    values = fields.split()
    return (int(values[11]) + int(values[12])) / TICKS


def resident_mb(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0


def measure(folder, balancers, agents, services, windows, window):
    system = Deployment(folder, 1)
    try:
        for number in (1, 2, 3):
            system.start_control(number)
        for number in range(services):
            system.cli("service", "create", f"service-{number}", "--address",
                       f"10.0.{number // 250}.{number % 250 + 1}:80",
                       "--buckets", 64)
        length = int((windows * window + 25) * 1000)
        swarm = Process(
            folder, "swarm", "node_swarm", "--control",
            ",".join(address(port) for port in system.control_ports),
            "--balancers", balancers, "--agents", agents, "--services",
            services, "--duration-ms", length)
        wait_until(lambda: len(system.cli("status")["nodes"])
                   == balancers + agents, 30, "registration of all nodes")
        time.sleep(12)  # until the ramp of joined upstreams is over
        leader = system.controls[system.leader()].process.pid
        follower = next(p.process.pid for n, p in system.controls.items()
                        if n != system.leader())
        shares, follower_shares = [], []
        for _ in range(windows):
            before = cpu_seconds(leader), cpu_seconds(follower)
            time.sleep(window)
            shares.append((cpu_seconds(leader) - before[0]) / window)
            follower_shares.append((cpu_seconds(follower) - before[1])
                                   / window)
        memory = resident_mb(leader)
        swarm.wait(60)
        octets = swarm.last_json()
        nodes = balancers + agents
        reports = octets["reports"] / nodes / (length / 1000)
        return {
            "nodes": nodes, "services": services,
            "leader_cpu_percent": round(100 * statistics.median(shares), 2),
            "spread": [round(100 * min(shares), 2),
                       round(100 * max(shares), 2)],
            "follower_cpu_percent":
                round(100 * statistics.median(follower_shares), 2),
            "leader_mb": round(memory, 1),
            "reports_per_node_s": round(reports, 2),
            "octets_sent_per_node_s":
                round(octets["octets_sent"] / nodes / (length / 1000)),
            "octets_received_per_node_s":
                round(octets["octets_received"] / nodes / (length / 1000)),
            "failed": octets["failed"],
        }
    finally:
        system.stop_all()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--windows", type=int, default=5)
    parser.add_argument("--window", type=float, default=2)
    options = parser.parse_args()
    for balancers, agents, services in ((1, 9, 2), (10, 90, 20),
                                        (100, 900, 200)):
        with tempfile.TemporaryDirectory() as folder:
            print(measure(pathlib.Path(folder), balancers, agents, services,
                          options.windows, options.window), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
