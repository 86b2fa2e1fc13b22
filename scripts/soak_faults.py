"""Faults of the soak, drawn from its seed."""
import pathlib
import shutil
import signal
import time

from relay_system import call

DISK_GAP_S = 8.0       # one lost disk is tolerated at a time
RECORD_HEADER_OCTETS = 12


class Faults:
    """Part of a run that harms processes and connections from outside.

    A fault returns the seconds for which its target stays busy.
    """

    def restart(self, address, how, pause):
        if address in self.system.balancers:
            self.out.add(address)
        code = self.system.end(address, how)
        if how == signal.SIGTERM and code != 0:
            self.record.problem(f"{address}: a graceful stop failed: {code}")
        time.sleep(pause)
        self.system.start(address)
        self.out.discard(address)

    def kill(self, address):
        self.disturb(address, 1.0)
        self.later(0, self.restart, address, signal.SIGKILL,
                   self.random.uniform(0.0, 1.0))
        return 2.0

    def stop(self, address):
        # Planned: flows through a stopping process must survive.
        if address in self.system.control:
            self.disturb(address, 3.0)
        self.later(0, self.restart, address, signal.SIGTERM, 0.1)
        return 9.0

    def pause(self, address):
        seconds = self.random.uniform(0.3, 4.0)
        self.disturb(address, seconds)
        self.system.signal(address, signal.SIGSTOP)
        self.out.add(address)
        self.later(seconds, self.resume, address)
        return seconds + 0.5

    def resume(self, address):
        self.system.signal(address, signal.SIGCONT)
        self.out.discard(address)

    def reload(self, address):
        self.system.seeds = self.random.sample(self.system.control, 3)
        self.system.write_settings(address)
        if self.random.random() < 0.7:
            self.system.signal(address, signal.SIGHUP)
        return 0.5

    def lose_disk(self, address):
        if time.monotonic() < self.disk_free_at:
            return 0.0
        self.disk_free_at = time.monotonic() + DISK_GAP_S
        self.system.end(address, signal.SIGKILL)
        shutil.rmtree(self.system.data_folder(address))
        self.later(self.random.uniform(0.0, 1.0), self.system.start, address)
        return 6.0

    def tear_disk(self, address):
        """A write that was under way when the process ended."""
        self.system.end(address, signal.SIGKILL)
        self.tears += 1
        if not self.tear_newest_segment(self.system.data_folder(address)):
            self.record.problem(f"{address}: no log segment to tear")
        self.later(self.random.uniform(0.0, 1.0), self.system.start, address)
        return 2.0

    def tear_newest_segment(self, folder):
        """Appends a part of a record; false if the folder has no segment."""
        names = sorted(pathlib.Path(folder).glob("wal-*"))
        if not names:
            return False
        # A record is a header, which starts with the size of the payload, the
        # payload and an end marker.
        record = names[-1].read_bytes()
        size = RECORD_HEADER_OCTETS + int.from_bytes(record[:4], "little")
        with open(names[-1], "ab") as log:
            log.write(record[:self.random.randrange(1, size + 1)])
        return True

    def kill_all_control(self):
        if not (self.busy | self.reserved) & set(self.system.control):
            self.busy.update(self.system.control)
            self.end_all_control()

    def end_all_control(self):
        for address in self.system.control:
            self.system.end(address, signal.SIGKILL)
        self.later(0.5, self.start_all_control)

    def reserve(self, addresses):
        """Keeps new faults off the instances and marks them busy once they
        have none; false at the end of the run."""
        self.reserved.update(addresses)
        while not self.over.wait(0.05):
            with self.fault_lock:
                if self.is_free(addresses):
                    self.reserved.difference_update(addresses)
                    self.busy.update(addresses)
                    return True
        return False

    def release(self, address):
        """Ends a fault; an instance without a process stays busy."""
        if address in self.system.running:
            self.busy.discard(address)
        else:
            self.later(0.2, self.release, address)

    def is_free(self, addresses):
        """They have no fault; one alone also needs others of its role."""
        return not self.busy & set(addresses) and \
            (len(addresses) > 1 or self.has_room(addresses[0]))

    def has_room(self, address):
        """Two instances of the role stay undisturbed if it has a fault."""
        alike = self.system.alike(address)
        return len(self.busy & set(alike)) < len(alike) - 2

    def kill_control_when_idle(self):
        """All control instances; false at the end of the run."""
        if not self.reserve(self.system.control):
            return False
        with self.fault_lock:
            self.note("kill_all_control")
            self.end_all_control()
        return True

    def kill_if_idle(self, address):
        with self.fault_lock:
            if address in self.busy | self.reserved:
                return
            self.busy.add(address)
            self.note(f"kill {address}")
            self.later(self.kill(address), self.release, address)

    def start_all_control(self):
        for address in self.system.control:
            self.system.start(address)
            self.busy.discard(address)

    def harm_connections(self, address):
        proxy = self.proxies[self.system.control.index(address)]
        seconds = self.random.uniform(0.5, 4.0)
        how = self.random.choice(["delay", "reset", "in", "out", "silence",
                                  "refuse"])
        if how == "delay":
            proxy.delay_s = self.random.uniform(0.02, 0.3)
        elif how == "refuse":
            proxy.refusing = True
        elif how in ("in", "out"):
            proxy.dropped = {how}
        if how in ("reset", "refuse"):
            self.proxy_thread.do(proxy.reset_all)
        elif how == "silence":
            self.proxy_thread.do(proxy.silence_all)
        self.note(f"  {how} for {seconds:.1f} s")
        self.later(seconds, proxy.heal)
        return seconds

    def lose_packets(self, _):
        self.packet_loss = self.random.uniform(0.02, 0.3)
        self.later(self.random.uniform(0.5, 3.0), setattr, self, "packet_loss", 0.0)
        return 0.0

    def upstream_at(self, address):
        return self.upstreams[self.system.agents.index(address)]

    def crash_upstream(self, address):
        upstream, seconds = self.upstream_at(address), self.random.uniform(0, 4)
        self.disturb(address, seconds)
        upstream.down = True
        upstream.clock_offset_s = self.random.choice([0.0, -3.0, 3.0])
        self.later(seconds, self.revive, upstream)
        return seconds + 1.0

    def revive(self, upstream):
        late = (upstream.instance, upstream.announcement())
        upstream.begin_life()
        upstream.down = False
        self.disturb(upstream.address)
        # An announcement of the earlier life was held up on its way.
        self.later(self.random.uniform(0.0, 2.0), call, "PUT", upstream.address,
                   f"/toucanmill/instances/{late[0]}", late[1])

    def drain_upstream(self, address):
        upstream = self.upstream_at(address)
        if sum(other.state == "draining" for other in self.upstreams) > 1:
            return 0.0
        upstream.state = "draining"
        self.later(6.0, self.leave, upstream)
        return 8.0

    def leave(self, upstream):
        self.disturb(upstream.address, 1.0)
        call("DELETE", upstream.address,
             f"/toucanmill/instances/{upstream.instance}")
        upstream.down = True
        self.later(1.0, self.revive, upstream)

    def disturb(self, address, seconds=0.0):
        self.record.disturb(address, seconds)

    def fault(self):
        with self.fault_lock:
            self.draw_fault()

    def draw_fault(self):
        """Draws a fault and a target that has none at present."""
        system = self.system
        table = [(system.control, (self.kill, self.stop, self.pause, self.reload,
                                   self.lose_disk, self.tear_disk,
                                   self.harm_connections,
                                   self.harm_connections)),
                 (system.balancers, (self.kill, self.stop, self.pause,
                                     self.reload, self.lose_packets)),
                 (system.agents, (self.kill, self.stop, self.pause, self.reload,
                                  self.crash_upstream, self.drain_upstream))]
        if self.random.random() < 0.05:
            return self.kill_all_control()
        addresses, faults = self.random.choice(table)
        address, fault = self.random.choice(addresses), self.random.choice(faults)
        if address in self.busy | self.reserved or not self.has_room(address):
            return None
        self.busy.add(address)
        self.note(f"{fault.__name__} {address}")
        seconds = fault(address)
        return self.later(seconds, self.release, address)
