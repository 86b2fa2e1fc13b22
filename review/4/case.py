"""A control instance is killed while it clears its data folder.

Some changes of a configuration with 1,060 routes come first, until the log has
two files. One of four control instances is then down for 3.5 s, so the group
removes it. Back
again, it is told so, clears its data folder to join anew, and is killed a
second time while it does. The platform starts it again, as it does after each
end. TROUBLE=0: without the second kill.
"""
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "common"))
import system as review

DOWN_S = 3.5          # longest node_kill of a core machine in the site file
RESTART_S = 0.5       # "a process that exits or is killed is restarted"
STARTS_WATCHED = 6    # after the second kill
RECOVERY_S = review.BOUNDS["recoveryS"]
LAST_TRY_S = 85.0
ROUTES = 110 + 2 * 370 + 210   # idle routes, and big_config
CHANGES = 150         # at most
GAP_S = 0.21          # of config_storm


def is_clearing(machine):
    """The folder exists, and the first file that is removed is gone."""
    return not os.path.exists(os.path.join(machine.data, "replica-id"))


def log_files(machine):
    return [name for name in os.listdir(machine.data) if name.startswith("wal")]


def fill_log(system, operator, machine):
    """Changes the configuration until the log has two files."""
    for version in range(2, CHANGES + 2):
        if len(log_files(machine)) > 1:
            break
        if operator.declare(review.configuration(
                version, ROUTES, timeout_ms=1000 + version % 7)) is None:
            return False
        time.sleep(GAP_S)
    system.record(f"configuration {version - 1} acknowledged; log of "
                  f"{machine.name}: {', '.join(sorted(log_files(machine)))}")
    return True


def kill_while_clearing(machine, limit):
    """SIGKILL once the process clears its folder; False: it never did."""
    until, pid = time.monotonic() + limit, machine.process.pid
    while time.monotonic() < until:
        if is_clearing(machine):
            os.kill(pid, signal.SIGKILL)
            machine.process.wait()
            return True
    return False


def rejoined(machine, limit):
    """A read at this instance is answered, by itself or by a redirect."""
    until = time.monotonic() + limit
    url = f"http://{machine.ip}:{machine.system.control_port}/toucanmill/config"
    while time.monotonic() < until:
        if review.call("GET", url)[0] == 200:
            return True
        time.sleep(0.1)
    return False


def label(machine):
    """The id under which the instance is a member of the group."""
    try:
        with open(os.path.join(machine.data, "replica-id")) as found:
            return found.readline().strip()
    except OSError:
        return "none"


def ends_by_itself(machine):
    """Starts that ended by themselves, of the next few."""
    ended = 0
    for _ in range(STARTS_WATCHED):
        machine.start()
        until = time.monotonic() + 3
        while machine.alive() and time.monotonic() < until:
            time.sleep(0.02)
        if machine.alive():
            return ended
        ended += 1
        machine.system.record(f"{machine.name} ended by itself with exit code "
                              f"{machine.process.returncode}: "
                              f"{machine.last_lines(1)[0]}")
        time.sleep(RESTART_S)
    return ended


def case(system):
    controls = system.add_controls(4)
    for machine in controls:
        machine.start()
    operator = review.Operator(system, controls)
    if operator.declare(review.configuration(1)) is None:
        system.record("the first configuration was never acknowledged")
        return review.NOT_RUN
    system.record("configuration 1 acknowledged")
    time.sleep(review.BOUNDS["catchUpS"])
    victim = controls[3]
    if not fill_log(system, operator, victim):
        system.record("a configuration was not acknowledged")
        return review.NOT_RUN
    system.record(f"{victim.name} has the id {label(victim)}")
    while time.monotonic() - system.began < LAST_TRY_S:
        victim.kill()
        time.sleep(DOWN_S)
        victim.start()
        if not review.TROUBLE:
            time.sleep(4)
            break
        if not kill_while_clearing(victim, 4):
            system.record(f"{victim.name} was not seen clearing its folder")
            continue
        left = sorted(os.listdir(victim.data))
        system.record(f"{victim.name} is killed (SIGKILL) while it clears its "
                      f"folder; left there: {', '.join(left) or 'nothing'}")
        time.sleep(RESTART_S)
        ended = ends_by_itself(victim)
        if ended >= 3:
            system.record(f"{victim.name}: {ended} starts, none of them lasted")
            return review.BROKEN
        system.record(f"{victim.name} started; {ended} starts ended")
        time.sleep(review.BOUNDS["catchUpS"])
    if not rejoined(victim, RECOVERY_S):
        system.record(f"{victim.name} does not serve")
        return review.BROKEN
    system.record(f"{victim.name} serves again, with the id {label(victim)}")
    return review.HELD


if __name__ == "__main__":
    review.run("4", case)
