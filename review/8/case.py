"""A heartbeat of another writer, with fields missing, reaches the node of a
target that lives and serves."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "support"))

from rules import (PUBLIC, TROUBLE, Callers, check_flows, run_case,  # noqa: E402
                   start_router, start_targets, wait_for_flows)
from system import KAD_BOUNDS, System, route  # noqa: E402
from target import put  # noqa: E402

# brugwerk-alumni-grown, as far as the roles of this case read them.
BOUNDS = {**KAD_BOUNDS, "stabilityWindowMs": 5000, "ackMs": 6000, "catchUpS": 6,
          "drainMs": 4000, "configApplyMs": 4000, "maxStretchMs": 15000,
          "recoveryS": 15, "coldOverage": 1.5, "coldSlack": 5,
          "evacuateMs": 5000}
CALM_S = 5.0    # stabilityWindowMs
SEEN_S = 4.0    # after the heartbeat


def build(record):
    return System(record, bounds=BOUNDS)


def play(record, system):
    system.start_all()
    system.declare(1, [route("r-view", PUBLIC, system.service,
                             timeout_ms=1500, goal_ms=200)], [system.service])
    targets = start_targets(record, system, {0, 1, 2}, says_birth=True)
    for target in targets:
        target.start()
    router = start_router(system)
    callers = Callers(record, system, router)
    wait_for_flows(record, callers, {target.instance for target in targets})
    callers.open(24)
    place = targets[0]
    time.sleep(max(0.0, place.started + CALM_S + 1.5 - time.monotonic()))
    if TROUBLE:
        # Neither zone, version, coldLeftMs nor born.
        body = {"service": place.service,
                "address": f"{place.app[0]}:{place.app[1]}", "slots": 4,
                "state": "ready", "seqNo": 1}
        status = put(place.control, "i-other-0001", body)
        record.note(f"heartbeat of another writer {body}: status {status}")
    time.sleep(SEEN_S)
    callers.stop()
    check_flows(record, callers, targets, CALM_S)


run_case(os.path.join(FOLDER, "record.txt"), build, play)
