"""Time until a configuration change is in force on every node, with one control
instance frozen: 3 control instances, 3 balancers, 11 upstreams.
"""

import argparse
import pathlib
import signal
import statistics
import sys
import tempfile

from deployment import Deployment


def measure(folder, changes):
    system = Deployment(folder, 1)
    try:
        for number in (1, 2, 3):
            system.start_control(number)
            system.start_balancer(number)
        for name, public, count in (("estimates", "203.0.113.10:80", 7),
                                    ("charts", "203.0.113.11:80", 4)):
            system.change("service", "create", name, "--address", public)
            for number in range(1, count + 1):
                system.add_upstream(name, number)
        system.wait_ready()
        leader = system.leader()
        # The tool waits 2 s for a frozen instance; that is no part of the time
        # until the change is in force.
        system.preferred_port = system.control_ports[leader - 1]
        frozen = next(n for n in system.controls if n != leader)
        system.controls[frozen].signal(signal.SIGSTOP)
        names = [up.name for up in system.upstreams]
        seconds = []
        for number in range(changes):
            verb = "restore" if number % 2 else "drain"
            name = names[number // 2 % len(names)]
            seconds.append(system.change("upstream", verb, name))
        system.controls[frozen].signal(signal.SIGCONT)
        return sorted(seconds)
    finally:
        system.stop_all()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=60)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        seconds = measure(pathlib.Path(folder), options.changes)
    print(f"changes {len(seconds)}, p50 {statistics.median(seconds):.2f} s, "
          f"p99 {seconds[int(len(seconds) * 0.99) - 1]:.2f} s, "
          f"max {seconds[-1]:.2f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
