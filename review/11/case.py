"""A route changes its service several times while a flow on it stays open."""
import os
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "deployment"))
from deployment import (Client, Deployment, configuration,  # noqa: E402
                        run, wait_until)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVICES = ["orders", "orders-b", "orders-c", "orders-d", "orders-e", "orders-f"]
CHANGES = int(os.environ.get("CHANGES", len(SERVICES) - 1))
ROLLS = int(os.environ.get("ROLLS", 3))
FLOWS = 4
MAX_FLOW_S = 60
CHANGE_GAP_S = 4.0


def declare(deployment, version, service):
    routes = [("r1", deployment.public, "unsafe", service)]
    status, _ = deployment.operate("PUT", "/toucanmill/config",
                                   configuration(version, routes, SERVICES))
    deployment.record("operator: version", version, "route to", service,
                      "answer", status)
    if status != 200:
        raise TimeoutError(f"version {version} is not acknowledged")


def open_flows(deployment, clients):
    flows = []
    until = time.monotonic() + 20
    while len(flows) < FLOWS:
        if time.monotonic() > until:
            raise TimeoutError("no flow opens")
        flow = clients[len(flows) % len(clients)].open()
        try:
            wait_until(lambda: flow.state != "opening", 2, "flow")
        except TimeoutError:
            continue
        if flow.state == "open":
            flows.append(flow)
    return flows


def roll(machine):
    """The planned restart of a machine: all its processes get SIGTERM."""
    threads = [threading.Thread(target=machine.restart, args=(role,))
               for role in machine.roles]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def play(deployment):
    deployment.start()
    declare(deployment, 1, SERVICES[0])
    wait_until(lambda: all(v == 0 for v in deployment.router.misses.values())
               and len(deployment.router.misses) == 3, 20, "balancers")
    clients = [Client(deployment, i) for i in range(2)]
    flows = open_flows(deployment, clients)
    stop = threading.Event()

    def use():
        count = 0
        while not stop.wait(0.5):
            count += 1
            for flow in flows:
                if flow.state == "open":
                    flow.request(f"q-{flow.port}-{flow.client.ip[-1]}-{count}",
                                 work=0.1, method="POST", size=200)
    user = threading.Thread(target=use)
    user.start()
    try:
        time.sleep(3)
        if TROUBLE:
            for i in range(1, CHANGES + 1):
                declare(deployment, i + 1, SERVICES[i])
                time.sleep(CHANGE_GAP_S)
            for machine in deployment.fronts[:ROLLS]:
                deployment.record("platform: restart of", machine.name)
                roll(machine)
                deployment.record("platform: started again", machine.name)
                time.sleep(4)
        else:
            time.sleep(30)
        time.sleep(2)
    finally:
        stop.set()
        user.join()
    age = time.monotonic() - min(flow.began for flow in flows)
    deployment.record(f"age of the flows: {age:.1f} s")
    broken = 0
    for flow in flows:
        lost = [name for name, answer in flow.answers.items() if answer is None]
        deployment.record("flow", flow.client.ip[-3:], flow.port, flow.state,
                          "unanswered", lost)
        if flow.state == "reset" and deployment.targets[0].alive and \
                flow.reset_at - flow.began < MAX_FLOW_S:
            broken += 1
    deployment.record(f"FLOW: {broken} of {FLOWS} open flows were reset")
    return broken


if __name__ == "__main__":
    os._exit(run(play, Deployment(HERE / "record.txt", SERVICES)))
