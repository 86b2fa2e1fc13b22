"""Upgrade of the soak's system from an earlier build, as drawn from the seed.

Instances of each role restart one after the other; the series of the roles
overlap each other and the random faults. Some instances go to the new build;
after a pause with kills all processes are killed or lose power; some or all go
back; a control instance loses its disk; then all go to the new build. At least
two control instances keep the earlier build until the last series, so that the
group can still hold what that build reads.
"""
import pathlib
import random
import re
import signal
import subprocess
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
UPGRADE_LIMIT_S = 240.0
OLD_CONTROL_KEPT = 2
GRACEFUL_SHARE = 0.75   # of the restarts; the others are kills
BUILD_JOBS = 3


def git(*arguments):
    return subprocess.run(["git", *arguments], cwd=ROOT, check=False,
                          stdout=subprocess.PIPE)


def resolve(name):
    """Full id of a commit, or of the one that deploy/system.toml names as
    production; None if the history of this clone is cut off before it."""
    if name == "production":
        settings = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        name = re.search(r'^production *= *"(\w+)"', settings, re.M).group(1)
    found = git("rev-parse", "--verify", "--quiet", name + "^{commit}")
    if found.returncode == 0:
        return found.stdout.decode().strip()
    if git("rev-parse", "--is-shallow-repository").stdout.strip() == b"true":
        return None
    raise ValueError(f"{name} is not a commit of this history")


def build_earlier(commit):
    """Builds the daemon of a commit; returns the folder that holds it."""
    began = time.monotonic()
    source = ROOT / "build-previous" / commit
    if not (source / "CMakeLists.txt").exists():
        source.mkdir(parents=True, exist_ok=True)
        archive = git("archive", commit)
        archive.check_returncode()
        subprocess.run(["tar", "-x", "-C", source], input=archive.stdout,
                       check=True)
    # The layout of a normal build, for which ccache has the objects.
    subprocess.run(["cmake", "--preset", "release",
                    "-DTOUCANMILL_DAEMON_ONLY=ON"], cwd=source, check=True,
                   stdout=subprocess.DEVNULL)
    subprocess.run(["cmake", "--build", "build", f"-j{BUILD_JOBS}", "--target",
                    "toucanmilld"], cwd=source, check=True,
                   stdout=subprocess.DEVNULL)
    print(f"built {commit[:7]} in {time.monotonic() - began:.0f} s", flush=True)
    return str(source / "build")


class Upgrade(threading.Thread):
    """Moves the instances of a run between two builds."""

    def __init__(self, soak, earlier):
        super().__init__(daemon=True)
        self.soak, self.system = soak, soak.system
        self.earlier, self.newer = earlier, soak.system.build
        self.random = random.Random(f"{soak.seed} upgrade")
        self.everyone = (self.system.control + self.system.balancers +
                         self.system.agents)
        self.system.builds = dict.fromkeys(self.everyone, earlier)
        self.moves, self.done = 0, False

    def run(self):
        try:
            self.play()
            self.done = True
        except Exception as failure:
            self.soak.record.problem(f"upgrade: {failure!r}")

    def play(self):
        first = self.draw_first()
        lost = self.random.choice(self.system.control)
        lose_early = self.random.random() < 0.5
        lost_after_s = self.random.uniform(0.0, 4.0)
        if lose_early:
            self.soak.later(lost_after_s, self.lose_disk, lost)
        self.move_all(first, self.newer)
        self.pause_with_kills()
        self.end_everything()
        back = first if self.random.random() < 0.4 else \
            self.random.sample(first, self.random.randrange(len(first) + 1))
        self.move_all(back, self.earlier)
        if not lose_early:
            self.soak.later(lost_after_s, self.lose_disk, lost)
        self.move_all([address for address in self.everyone
                       if self.system.builds[address] != self.newer],
                      self.newer)

    def draw_first(self):
        """The instances that are upgraded before the pause."""
        system, draw = self.system, self.random
        control = len(system.control) - OLD_CONTROL_KEPT
        return (draw.sample(system.control, draw.randrange(control + 1)) +
                draw.sample(system.balancers,
                            draw.randrange(len(system.balancers) + 1)) +
                draw.sample(system.agents,
                            draw.randrange(1, len(system.agents) + 1)))

    def move_all(self, addresses, build):
        """A series for each role; they overlap."""
        which = "new" if build == self.newer else "earlier"
        self.soak.note(f"upgrade: {len(addresses)} instances to the {which} build")
        series = {}
        for address in self.random.sample(addresses, len(addresses)):
            step = (address, self.random.uniform(0.0, 1.5),
                    signal.SIGTERM if self.random.random() < GRACEFUL_SHARE
                    else signal.SIGKILL, self.random.uniform(0.0, 1.0))
            series.setdefault(self.system.role(address), []).append(step)
        threads = [threading.Thread(target=self.move_series,
                                    args=(steps, build), daemon=True)
                   for steps in series.values()]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def move_series(self, steps, build):
        for address, wait, how, pause in steps:
            self.soak.over.wait(wait)
            try:
                self.move(address, build, how, pause)
            except Exception as failure:
                self.soak.record.problem(f"upgrade of {address}: {failure!r}")

    def move(self, address, build, how, pause):
        if not self.soak.reserve([address]):
            return
        which = "new" if build == self.newer else "earlier"
        self.soak.note(f"upgrade: {address} to the {which} build, {how.name}")
        self.system.builds[address] = build
        if how == signal.SIGKILL:
            self.soak.disturb(address, 1.0)
        self.soak.restart(address, how, 0.1 if how == signal.SIGTERM else pause)
        self.moves += 1
        self.soak.later(1.0, self.soak.release, address)

    def pause_with_kills(self):
        self.soak.note("upgrade: pause")
        for _ in range(self.random.randrange(2, 6)):
            self.soak.over.wait(self.random.uniform(0.0, 1.5))
            self.soak.kill_if_idle(self.random.choice(self.everyone))

    def end_everything(self):
        """All processes end at once; with the power also the upstreams."""
        power = self.random.random() < 0.5
        seconds = self.random.uniform(0.1, 1.5)
        if not self.soak.reserve(self.everyone):
            return
        self.soak.note("upgrade: all " +
                       ("lose power" if power else "processes are killed"))
        for address in self.everyone:
            self.soak.disturb(address, seconds + 1.0)
            self.system.end(address, signal.SIGKILL)
        for upstream in self.soak.upstreams if power else []:
            upstream.down = True
        self.soak.over.wait(seconds)
        for address in self.everyone:
            self.system.start(address)
        for upstream in self.soak.upstreams if power else []:
            self.soak.revive(upstream)
        self.soak.later(1.0, self.soak.busy.difference_update, self.everyone)

    def lose_disk(self, address):
        """The control instance is replaced by one with an empty folder."""
        seconds = 0.0
        while not seconds and self.soak.reserve([address]):
            seconds = self.soak.lose_disk(address)  # 0: another lost its own
            self.soak.later(seconds, self.soak.release, address)
            self.soak.over.wait(0.2)
        self.soak.note(f"upgrade: {address} lost its disk")
