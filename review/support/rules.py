"""What the cases share: a running system with callers, and the rule FLOW."""
import os
import sys
import threading
import time
import traceback

from client import Client, Router
from system import CannotRun, Record, wait_for
from target import Target

PUBLIC = ("127.18.0.1", 8443)  # of a route; nothing is sent there
DEADLINE_S = 1.0  # of findings-feed
START_S = 0.5  # in which all processes are started
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Callers:
    """Clients that keep flows open and send a request on each now and then."""

    def __init__(self, record, system, router, count=4):
        self.record, self.flows, self.threads = record, [], []
        self.clients = [Client(record, router, system.client_address(i), PUBLIC)
                        for i in range(count)]
        self.over, self.requests = threading.Event(), 0
        self.refused = 0

    def open(self, count):
        """Opens flows one after the other; returns those that opened."""
        opened = []
        for i in range(count):
            flow = self.clients[i % len(self.clients)].open_flow()
            if flow is None:
                self.refused += 1
                continue
            opened.append(flow)
            thread = threading.Thread(target=self.use, args=(flow,), daemon=True)
            thread.start()
            self.threads.append(thread)
        self.flows += opened
        return opened

    def use(self, flow):
        number = 0
        while not self.over.is_set() and not flow.was_reset:
            number += 1
            name = f"{flow.end[0]}-{flow.end[1]}-{number}"
            if flow.request(name, DEADLINE_S) is None:
                if flow.was_reset:
                    self.record.note(f"flow of {flow.end[0]}:{flow.end[1]} at "
                                     f"{flow.instance} is reset by the "
                                     f"{flow.was_reset}")
                else:
                    self.record.note(f"{name}: no answer before the deadline")
                    return
            self.over.wait(0.4)

    def stop(self):
        self.over.set()
        for thread in self.threads:
            thread.join(3)


def check_flows(record, callers, targets, calm_s):
    """FLOW, (a): resets that the flow's target did not send, while that target
    lives, nothing has disturbed it for `calm_s`, and the processes of the
    system, which are all started at the beginning, have run for as long."""
    living = {target.instance: target for target in targets if target.running}
    for flow in callers.flows:
        target = living.get(flow.instance)
        if flow.was_reset == "system" and target is not None and \
                flow.reset_at - target.started >= calm_s and \
                flow.reset_at - record.begun >= calm_s + START_S:
            record.breach("FLOW", f"{flow.end[0]}:{flow.end[1]}: the client gets "
                                  f"a reset; {flow.instance} lives and sent none")


def run_case(path, build, play):
    """Plays a case and writes its record to `path`. Exit code: 1 the rule was
    broken, 0 it held, 2 the case could not run."""
    record = Record(path)
    record.note(f"TROUBLE={int(TROUBLE)}")
    system = None
    try:
        system = build(record)
        play(record, system)
        for (ip, role), code in system.ended_alone():
            record.note(f"{role} on {ip} ended by itself: {code}")
        code = 1 if record.breaches else 0
    except CannotRun as why:
        record.note(f"can't run: {why}")
        code = 2
    except Exception:  # a fault of the case itself
        record.note(traceback.format_exc())
        code = 2
    finally:
        if system is not None:
            system.end_all()
    record.note(f"exit code {code}")
    record.close()
    for rule, line in record.breaches[:5]:
        print(f"{rule}: {line}")
    print(f"{len(record.breaches)} breaches; exit code {code}")
    sys.stdout.flush()
    os._exit(code)


def start_targets(record, system, sides, interval_s=1.2, says_birth=False):
    return [Target(record, f"{i}", (ip, system.app_port),
                   (ip, system.outbound_port), (ip, system.control_port),
                   system.service, system.zone(ip), interval_s,
                   says_birth=says_birth)
            for i, ip in enumerate(system.sides) if i in sides]


def start_router(system):
    router = Router(system.fronts, system.data_port, system.ready_port)
    router.start()
    wait_for("readiness of the balancers", lambda: all(
        misses == 0 for misses in router.misses.values()))
    return router


def wait_for_flows(record, callers, instances):
    """Until new flows reach all of these instances. The flows stay open."""
    def reached():
        for flow in callers.open(4):
            del flow
        time.sleep(0.1)
        seen = {flow.instance for flow in callers.flows}
        return instances <= seen
    wait_for(f"flows at {sorted(instances)}", reached)
