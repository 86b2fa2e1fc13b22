"""A small deployment of toucanmill on the loopback interface."""

import json
import subprocess
import time

from processes import BUILD, Process, address, fetch, free_ports, metrics, \
    wait_until


class Upstream:
    """A sample upstream and the agent beside it."""

    def __init__(self, system, service, number, delay_ms):
        self.service = service
        self.name = f"{service}-{number}"
        self.port, self.data, self.http = free_ports(3)
        self.server = Process(system.folder, f"upstream-{self.name}",
                              "sample_upstream", "--port", self.port,
                              "--delay-ms", delay_ms)
        self.settings = system.write(f"agent-{self.name}", f"""
role = "agent"
name = "{self.name}"
data_centre = "{system.data_centre(number)}"
http = "{address(self.http)}"
control_endpoints = {system.control_list()}
[agent]
data = "{address(self.data)}"
upstream = "{address(self.port)}"
service = "{service}"
""")
        self.agent = Process(system.folder, f"agent-{self.name}",
                             "toucanmilld", self.settings)

    def runs(self):
        """Runs by submission id as the upstream counted them."""
        page = fetch(self.port, "/runs") or ""
        pairs = (line.split() for line in page.splitlines() if line)
        return {key: int(count) for key, count in pairs}


class Deployment:
    """Control instances, balancers, fabric edge, upstreams and agents."""

    centres = ["spata", "koropi", "elefsina"]

    def __init__(self, folder, seed):
        self.folder, self.seed = folder, seed
        self.controls, self.balancers, self.upstreams = {}, {}, []
        self.control_ports = free_ports(3)
        self.fabric_port = free_ports(1)[0]
        self.fabric = None
        self.preferred_port = None  # control instance that the tool asks first

    def data_centre(self, number):
        return self.centres[number % len(self.centres)]

    def control_list(self):
        return json.dumps([address(port) for port in self.control_ports])

    def write(self, name, text):
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        return path

    def start_control(self, number, port_of=None):
        """port_of: instance whose RPC port it takes over; itself if absent."""
        http = free_ports(1)[0]
        port = self.control_ports[(port_of or number) - 1]
        group = "".join(
            f'[[control.group]]\nid = {i + 1}\nrpc = "{address(port)}"\n'
            for i, port in enumerate(self.control_ports))
        settings = self.write(f"control-{number}", f"""
role = "control"
name = "control-{number}"
data_centre = "{self.data_centre(number)}"
http = "{address(http)}"
[control]
id = {number}
rpc = "{address(port)}"
folder = "{self.folder}/control-{number}"
{group}""")
        process = Process(self.folder, f"control-{number}", "toucanmilld",
                          settings)
        process.http = http
        self.controls[number] = process

    def start_learner(self, lost):
        """Starts an instance with a new id in place of one that lost its
        disk; returns the id."""
        fresh = max(self.controls) + 1
        del self.controls[lost]
        self.start_control(fresh, port_of=lost)
        return fresh

    def try_promote(self, number, rpc):
        self.cli("control", "promote", number, "--rpc", rpc, check=False)
        return any(member["id"] == number and member["voter"]
                   for member in self.cli("status")["group"])

    def start_balancer(self, number):
        data, http = free_ports(2)
        settings = self.write(f"balancer-{number}", f"""
role = "balancer"
name = "balancer-{number}"
data_centre = "{self.data_centre(number)}"
http = "{address(http)}"
control_endpoints = {self.control_list()}
[balancer]
data = "{address(data)}"
fabric = ["{address(self.fabric_port)}"]
""")
        process = Process(self.folder, f"balancer-{number}", "toucanmilld",
                          settings)
        process.http, process.data = http, data
        self.balancers[number] = process

    def start_fabric(self, listens):
        """listens: {local port: public address}"""
        arguments = ["--data", address(self.fabric_port), "--seed", self.seed]
        for port, public in listens.items():
            arguments += ["--listen", f"{address(port)}={public}"]
        self.fabric = Process(self.folder, "fabric", "fabric_edge", *arguments)

    def add_upstream(self, service, number, delay_ms=0):
        upstream = Upstream(self, service, number, delay_ms)
        self.upstreams.append(upstream)
        return upstream

    def cli(self, *arguments, check=True):
        """Runs the command-line tool; returns the parsed JSON."""
        ports = sorted(self.control_ports,
                       key=lambda port: port != self.preferred_port)
        endpoints = ",".join(address(port) for port in ports)
        done = subprocess.run(
            [str(BUILD / "toucanmill"), "--control", endpoints, "--json",
             *map(str, arguments)], capture_output=True, text=True)
        with open(self.folder / "commands.log", "a") as log:
            log.write(f"{time.monotonic():.3f} {arguments} exit "
                      f"{done.returncode}\n{done.stderr}")
        if check and done.returncode != 0:
            raise RuntimeError(f"{arguments}: exit {done.returncode}: "
                               f"{done.stderr.strip()}")
        return json.loads(done.stdout) if done.stdout.strip() else {}

    def change(self, *arguments):
        """Makes a change; returns seconds until it was in force everywhere."""
        start = time.monotonic()
        outcome = self.cli(*arguments)
        self.cli("wait", "--index", outcome["index"])
        return time.monotonic() - start

    def leader(self):
        return self.cli("status")["leader"]

    def wait_ready(self, limit=30):
        def ready():
            dead = [p.name for p in self.processes() if not p.alive()]
            if dead:
                raise RuntimeError(f"ended during the start: {dead}")
            status = self.cli("status", check=False)
            nodes = {node["name"]: node for node in status.get("nodes", [])}
            return all(nodes.get(up.name, {}).get("state") == "active"
                       for up in self.upstreams) and \
                all(fetch(b.http, "/readyz") for b in self.balancers.values())
        wait_until(ready, limit, "readiness of all nodes")

    def processes(self):
        ends = [p for up in self.upstreams for p in (up.agent, up.server)]
        return [*self.balancers.values(), *ends, *self.controls.values(),
                *([self.fabric] if self.fabric else [])]

    def agent_metrics(self):
        return {up.name: metrics(up.http) for up in self.upstreams
                if up.agent.alive()}

    def stop_all(self):
        for process in self.processes():
            process.signal(15)
        for process in self.processes():
            if process.wait(5) is None:
                process.kill()
