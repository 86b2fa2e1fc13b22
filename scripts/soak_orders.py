"""Evacuation orders of the fault soak, and what is known of their effect.

Orders go over HTTP and through the command-line tool in turn. An order is sent
again until it is acknowledged, and the opposite one is not sent before that,
except where two operators compete: a late copy of an order over HTTP counts as
a new order (docs/design/evacuation.md).
"""
import itertools
import json
import random
import threading
import time

from relay_system import call

EVACUATION_LIMIT_S = 5.0  # after the acknowledgement, for the last new flow
CALL_LIMIT_S = 1.5        # of an order over HTTP, before another instance is asked
VERSION_CONFLICT, UNAVAILABLE = 3, 6  # exit codes of the tool


class Orders(threading.Thread):
    """Evacuates and restores data centres; the only one to do so in a run."""

    def __init__(self, soak):
        super().__init__(daemon=True)
        self.soak, self.random = soak, random.Random(f"{soak.seed} orders")
        self.names = soak.system.data_centres
        self.acknowledged = {}  # evacuated data centre: since when
        self.ending = threading.Event()
        self.turns, self.ids = itertools.count(), itertools.count()
        self.accepted, self.restarts, self.hold_s = 0, 0, 0.0

    def is_closed(self, name):
        """No new flow may reach the data centre at present."""
        since = self.acknowledged.get(name)
        return since is not None and \
            time.monotonic() > since + EVACUATION_LIMIT_S

    def run(self):
        leave_standing = self.random.random() < 0.7
        while not self.ending.wait(self.random.uniform(0.2, 1.0)):
            self.play()
        if not leave_standing:
            for name in list(self.acknowledged):
                self.order(False, name)

    def play(self):
        name = self.random.choice(self.names)
        if name in self.acknowledged:
            tasks = [self.evacuate_twice, self.read] + 4 * [self.restart_processes]
            if time.monotonic() > self.acknowledged[name] + self.hold_s:
                tasks += 2 * [self.restore, self.restore_twice, self.compete]
            task = self.random.choice(tasks)
        elif len(self.acknowledged) + 1 < len(self.names):
            task = self.random.choice([
                self.evacuate, self.evacuate_twice, self.compete,
                self.evacuate_and_kill_leader, self.evacuate_and_kill_leader])
        else:
            # Callers need a data centre that takes new flows.
            return
        self.soak.note(f"order: {task.__name__} {name}")
        task(name)
        self.hold_s = self.random.uniform(0.0, 2 * EVACUATION_LIMIT_S)

    def evacuate(self, name):
        self.order(True, name)

    def restore(self, name):
        self.order(False, name)

    def evacuate_twice(self, name):
        if self.both(name, (True, True)):
            self.acknowledged.setdefault(name, time.monotonic())

    def restore_twice(self, name):
        self.acknowledged.pop(name)
        self.both(name, (False, False))

    def compete(self, name):
        """Two operators give opposite orders; the log decides."""
        self.acknowledged.pop(name, None)
        if self.both(name, (True, False)):
            while not self.soak.over.is_set():
                found = self.listed()
                if found is not None:
                    if name in found:
                        self.acknowledged[name] = time.monotonic()
                    return

    def evacuate_and_kill_leader(self, name):
        leader = self.leader()
        delay = self.random.uniform(0.0, 0.05)
        self.soak.later(delay, self.soak.kill_if_idle, leader)
        self.order(True, name)
        self.read(name)

    def restart_processes(self, name):
        """All control instances, an agent and a balancer, while it stands."""
        system = self.soak.system
        if not self.soak.kill_control_when_idle():
            return
        self.restarts += 1
        for address in (self.random.choice(system.agents),
                        self.random.choice(system.balancers)):
            self.soak.kill_if_idle(address)
        while not self.read(name) and not self.soak.over.wait(0.1):
            pass

    def read(self, _):
        """False without an answer; otherwise the list must be as ordered."""
        found = self.listed()
        if found is not None and found != set(self.acknowledged):
            self.soak.record.problem(f"evacuated are {sorted(found)}, ordered "
                                     f"{sorted(self.acknowledged)}")
        return found is not None

    def listed(self):
        status, out = self.soak.system.tool("--json", "evacuations")
        if status != 0:
            return None
        return {item["dataCentre"] for item in json.loads(out)["evacuations"]}

    def leader(self):
        status, out = self.soak.system.tool("--json", "status")
        if status == 0:
            found = json.loads(out)
            for member in found["group"]:
                if member["id"] == found["leader"]:
                    return member["rpc"].split(":")[0]
        return self.random.choice(self.soak.system.control)

    def order(self, evacuated, name):
        if not evacuated:
            self.acknowledged.pop(name, None)
        if self.send(evacuated, name, next(self.turns)) and evacuated:
            self.acknowledged.setdefault(name, time.monotonic())

    def both(self, name, orders):
        """Two orders at the same time; true if both were acknowledged."""
        results = []
        threads = [threading.Thread(target=lambda order=order: results.append(
            self.send(order, name, next(self.turns)))) for order in orders]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return all(results)

    def send(self, evacuated, name, turn):
        """Sends the order until it is acknowledged; false if it never is."""
        verdict = None
        send = self.send_by_tool if turn % 2 else self.send_over_http
        request_id = f"order-{next(self.ids)}"
        while verdict is None and not self.soak.over.is_set():
            request_id, verdict = send(evacuated, name, request_id)
        self.soak.note(f"  {name} evacuated={evacuated} by {send.__name__}: "
                       f"{verdict}")
        if verdict not in (None, "accepted"):
            self.soak.record.problem(f"order for {name} refused: {verdict}")
        self.accepted += verdict == "accepted"
        return verdict == "accepted"

    def send_over_http(self, evacuated, name, request_id):
        status, body = call("POST" if evacuated else "DELETE",
                            self.random.choice(self.soak.system.control),
                            f"/toucanmill/evacuation/{name}",
                            timeout=CALL_LIMIT_S)
        if status == 200:
            return request_id, "accepted"
        if status in (0, 503):
            time.sleep(0.1)
            return request_id, None
        return request_id, f"{status} {body}"

    def send_by_tool(self, evacuated, name, request_id):
        status, out = self.soak.system.tool(
            "evacuate" if evacuated else "restore", name,
            "--request-id", request_id)
        if status == 0:
            return request_id, "accepted"
        if status == VERSION_CONFLICT:  # the outcome of this id stands
            return f"order-{next(self.ids)}", None
        if status == UNAVAILABLE:
            time.sleep(0.1)
            return request_id, None
        if status < 0:  # whether the order was accepted is not known
            self.soak.record.problem(f"the tool crashed: {status} {out}")
            return request_id, None
        return request_id, f"exit code {status} {out}"
