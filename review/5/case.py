"""Control instances use more memory than the platform allows, again and again.

Six control instances, two in each of three zones, the first with a disk, the
second without one. The configuration grows by 6 x 350 routes; then a change of
the time-outs follows each 0.21 s, until each instance without a disk has ended
once, up to 480 changes. The stand-in of the platform kills a process that uses
more than `memoryMb`, and starts it again 0.5 s later. TROUBLE=0: the same changes without the added routes.
"""
import collections
import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import system as review

FIRST_ROUTES = 8
ADDED_ROUTES = 6 * 350     # big_config, six times
GAP_S = 0.21               # of config_storm
CHANGES = 480
FURTHER_CHANGES = 12       # after each instance without a disk has ended once
RESTART_S = 0.5
TIMES = 3                  # "end by themselves three times in the day"
MACHINES = 2               # "a tenth of the machines in use (two at least)"
LIMIT_S = 110.0


def memory_mb(machine):
    try:
        with open(f"/proc/{machine.process.pid}/status") as lines:
            for line in lines:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1000
    except OSError:
        pass
    return 0.0


class Platform(threading.Thread):
    """Kills what uses more memory than allowed; starts what has ended."""

    def __init__(self, system, machines):
        super().__init__(daemon=True)
        self.system, self.machines = system, machines
        self.ends, self.most = collections.Counter(), 0.0
        self.over, self.restart_at = threading.Event(), {}

    def run(self):
        while not self.over.wait(0.05):
            for machine in self.machines:
                self.look_at(machine)

    def look_at(self, machine):
        now = time.monotonic()
        if machine in self.restart_at:
            if now >= self.restart_at[machine]:
                del self.restart_at[machine]
                machine.start()
            return
        used = memory_mb(machine)
        self.most = max(self.most, used)
        if machine.alive() and used > review.MEMORY_MB:
            self.system.record(f"{machine.name} uses {used:.0f} MB, over the "
                               f"limit of {review.MEMORY_MB} MB")
            machine.kill()
        if not machine.alive():
            self.ends[machine.name] += 1
            self.restart_at[machine] = now + RESTART_S

    def looping(self):
        return [name for name, count in self.ends.items() if count >= TIMES]


def case(system):
    zones = review.ZONES[:3]
    disks = [system.add("control", 1 + i, zone) for i, zone in enumerate(zones)]
    others = [system.add("control", 4 + i, zone, dataDir=None)
              for i, zone in enumerate(zones)]
    system.seeds = [f"{m.ip}:{system.control_port}" for m in disks]
    machines = disks + others
    for machine in machines:
        machine.start()
    operator = review.Operator(system, disks)
    if operator.declare(review.configuration(1, FIRST_ROUTES)) is None:
        return review.NOT_RUN
    system.record("configuration 1 acknowledged")
    time.sleep(review.BOUNDS["catchUpS"])
    platform = Platform(system, machines)
    platform.start()
    routes = FIRST_ROUTES + (ADDED_ROUTES if review.TROUBLE else 0)
    version, slowest, late = 1, 0.0, 0
    further = FURTHER_CHANGES
    while time.monotonic() - system.began < LIMIT_S:
        if len(platform.looping()) >= MACHINES:
            break
        if all(platform.ends[machine.name] for machine in others):
            further -= 1
            if further == 0:
                system.record("each instance without a disk has ended once; "
                              "no changes from now on")
        if version > CHANGES or further <= 0:
            time.sleep(0.2)
            continue
        version += 1
        due = time.monotonic() + GAP_S
        took = operator.declare(review.configuration(
            version, routes, timeout_ms=1000 + version % 7), limit=5.0,
            timeout=2.0)
        late += took is None
        slowest = max(slowest, took or 5.0)
        time.sleep(max(0.0, due - time.monotonic()))
    platform.over.set()
    platform.join()
    system.record(f"{version} versions of {routes} routes sent, {late} not "
                  f"acknowledged in 5 s, slowest acknowledgement "
                  f"{slowest:.2f} s; most memory {platform.most:.0f} MB")
    for name, count in sorted(platform.ends.items()):
        system.record(f"{name} ended {count} times with no disruption there")
    return review.BROKEN if len(platform.looping()) >= MACHINES else review.HELD


if __name__ == "__main__":
    review.run("5", case)
