"""New seeds without a disk are killed together: they never find the group.

Three control instances have a disk, three have none. The settings of all
machines name the three without a disk as seeds from now on, and SIGHUP says
so. Then these three and one agent are killed at the same moment and started
again 0.5 s later. The agent finds no control instance that knows the group;
control drops it from the table though its target serves. A balancer is then
stopped in a planned way, so that its flows go through the other one.
TROUBLE=0: without the exchange of the seeds and the kills.
"""
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import system as review
from flows import Flow, Target

RESTART_S = 0.5
LONGEST_FLOW_S = review.BOUNDS["maxFlowS"]
STOP_AT_S = 42.0      # after the flows were opened
POLLS_S = 1.0         # two misses of the readiness, polled twice a second
END_AT_S = 55.0
PAUSE_S = 0.5         # between two requests of a flow
FLOWS = 12


def exchange_seeds(system, machines, seeds):
    system.seeds = [f"{m.ip}:{system.control_port}" for m in seeds]
    for machine in machines:
        machine.write_settings()
        machine.signal(signal.SIGHUP)
    system.record("the settings name " + ", ".join(m.name for m in seeds) +
                  " as seeds; SIGHUP sent")


def kill_together(system, machines):
    for machine in machines:
        machine.signal(signal.SIGKILL)
    for machine in machines:
        machine.process.wait()
    system.record("killed: " + ", ".join(m.name for m in machines))
    time.sleep(RESTART_S)
    for machine in machines:
        machine.start()


def is_ready(machine):
    url = f"http://{machine.ip}:{machine.system.ready_port}/toucanmill/readiness"
    return review.call("GET", url)[0] == 200


def case(system):
    zones = review.ZONES[:3]
    disks = [system.add("control", 1 + i, zone) for i, zone in enumerate(zones)]
    others = [system.add("control", 4 + i, zone, dataDir=None)
              for i, zone in enumerate(zones)]
    balancers = [system.add("balancer", 1 + i, zones[i]) for i in range(2)]
    agents = [system.add("agent", 1 + i, zones[i]) for i in range(3)]
    targets = [Target(system, agent, "obslog", agent.name) for agent in agents]
    system.seeds = [f"{m.ip}:{system.control_port}" for m in disks]
    machines = disks + others + balancers + agents
    for machine in machines:
        machine.start()
    operator = review.Operator(system, disks)
    if operator.declare(review.configuration(1)) is None:
        return review.NOT_RUN
    system.record("configuration 1 acknowledged")
    time.sleep(1)
    for target in targets:
        target.start()
    time.sleep(review.BOUNDS["catchUpS"])
    if not all(map(is_ready, balancers)):
        system.record("a balancer is not ready before the disruption")
        return review.NOT_RUN
    rotation = [balancers[0]]
    through = lambda: rotation[0]
    flows = [Flow(system, "198.18.0.1", 8443, 1 + i) for i in range(FLOWS)]
    if not all(flow.open(through) and flow.request(through) for flow in flows):
        system.record("a flow did not open before the disruption")
        return review.NOT_RUN
    opened = time.monotonic()
    held = {flow.end: target.agent.name for flow in flows
            for target in targets if (flow.end, flow.public) in target.flows}
    victim = max(agents, key=lambda a: list(held.values()).count(a.name))
    system.record(f"{FLOWS} flows open: " + ", ".join(
        f"{end[0]} at {name}" for end, name in held.items()))
    if review.TROUBLE:
        exchange_seeds(system, machines, others)
        time.sleep(2)
        kill_together(system, others + [victim])
    served = lost = 0
    stopped = False
    while time.monotonic() - opened < END_AT_S:
        since = time.monotonic() - opened
        if not stopped and since >= STOP_AT_S:
            stopped = True
            balancers[0].signal(signal.SIGTERM)
            system.record(f"{balancers[0].name} gets SIGTERM (planned)")
        if since >= STOP_AT_S + POLLS_S and rotation[0] is balancers[0]:
            rotation[0] = balancers[1]
            system.record(f"the router sends its flows to {balancers[1].name}")
        for flow in flows:
            if flow.reset is None:
                done = flow.request(through)
                served, lost = served + done, lost + (not done)
                if flow.reset is not None:
                    system.record(
                        f"the flow of {flow.end[0]}, open at "
                        f"{held.get(flow.end)} for {flow.reset - opened:.1f} s, "
                        f"is reset; its target lives and sent no reset")
        time.sleep(PAUSE_S)
    system.record(f"{served} requests answered, {lost} not")
    for machine in others:
        url = operator.url(machine)
        system.record(f"{machine.name} answers a read with "
                      f"{review.call('GET', url)[0]}")
    reset = [flow for flow in flows if flow.reset is not None]
    return review.BROKEN if reset else review.HELD


if __name__ == "__main__":
    review.run("3", case)
