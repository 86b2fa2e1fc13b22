#!/usr/bin/env python3
"""Tests how toucanmilld takes signals. Usage: stop_signals_test.py BUILD"""
import pathlib
import signal
import sys
import tempfile
import unittest

from relay_system import System, call, wait_until

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"


def threads_that_take(pid, number):
    """Threads other than the main one, which waits for signals."""
    found = []
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        masks = [line.split()[1] for line in
                 (task / "status").read_text(encoding="ascii").splitlines()
                 if line.startswith("SigBlk:")]
        if not int(masks[0], 16) >> (number - 1) & 1 and task.name != str(pid):
            found.append(task.name)
    return found


class StopSignals(unittest.TestCase):
    # Guards against a graceful stop that ends the process at once because the
    # main thread was not waiting for the signal.
    def test_only_the_main_thread_takes_stop_signals(self):
        with tempfile.TemporaryDirectory() as folder:
            system = System(BUILD, folder, "127.42", control=1, balancers=1,
                            agents=1)
            self.addCleanup(system.end_all)
            system.start_all()
            for address in system.balancers + system.agents:
                wait_until("pages", lambda to=address: call(
                    "GET", to, "/toucanmill/readiness")[0] != 0)
            for address, process in system.running.items():
                for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                    self.assertEqual(
                        [], threads_that_take(process.pid, number), address)
            system.end_all()


if __name__ == "__main__":
    unittest.main()
