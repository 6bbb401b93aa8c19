#!/usr/bin/env python3
"""Measures how the cost of a router grows with the numbers of members, requests, streams, organisations, endpoints and
configuration changes.

Each sweep varies one of these sizes. For each value it starts a small local deployment of the real binaries and prints one
JSON object. docs/CAPACITY.md derives the cost at the target size from the slopes. The script uses only the standard library
and the loopback interface.
"""

import argparse
import asyncio
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
KEY = "capacity-key"
LOADED_ROUTERS = 6
DATA_CENTRES = ["dc-a", "dc-b", "dc-c"]


next_port = random.Random(os.getpid()).randrange(20_000, 28_000)


def free_port():
    """Returns a TCP and UDP port that is free and lies below the ephemeral ports of outgoing connections."""
    global next_port
    while True:
        next_port = 20_000 + (next_port - 19_999) % 12_000
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
            try:
                stream.bind(("127.0.0.1", next_port))
                datagram.bind(("127.0.0.1", next_port))
                return next_port
            except OSError:
                continue


def get_json(port, path):
    """Returns the parsed JSON response to a GET request."""
    with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=5) as response:
        return json.load(response)


def wait_until(what, condition, seconds=30):
    """Polls the condition until it is true; OSError counts as false. Raises TimeoutError after the given time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise TimeoutError(f"deadline passed while waiting for {what}")


class Router:
    """A router process and its ports for callers and administration."""

    def __init__(self, process, instance, data_centre, caller, admin):
        self.process = process
        self.instance = instance
        self.data_centre = data_centre
        self.caller = caller
        self.admin = admin

    def cpu_seconds(self):
        """Returns the user and system time that the process has used."""
        fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_bytes(self):
        return int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE_BYTES

    def status(self):
        return get_json(self.admin, "/v1/status")


class Deployment:
    """Stand-ins for the platform and the engines, and routers. close() kills every process by its id."""

    def __init__(self, binaries, routers, engines=3, organisations=10, idle_endpoints=0, engine_arguments=()):
        self.binaries = pathlib.Path(binaries)
        self.directory = tempfile.TemporaryDirectory()
        self.processes = []
        self.routers = []
        self.organisations = organisations
        self.idle_endpoints = idle_endpoints
        self.revision_marker = 0
        try:
            self.start_all(routers, engines, engine_arguments)
        except BaseException:
            self.close()
            raise

    def start_all(self, routers, engines, engine_arguments):
        self.platform = free_port()
        self.start("platform-standin", "--listen-port", self.platform, "--reads-per-second", 0)
        self.engine_ports = []
        for _ in range(engines):
            port = free_port()
            self.start("engine-standin", "--port", port, "--models", "m", *engine_arguments)
            self.engine_ports.append(port)
        wait_until("the platform", lambda: get_json(self.platform, "/v1/instances") is not None)
        self.apply()
        self.start_routers(routers)

    def start(self, name, *arguments):
        command = [str(self.binaries / name), *map(str, arguments)]
        environment = dict(os.environ, MULBERRYWALL_PEER_SECRET="capacity-secret")
        process = subprocess.Popen(command, stderr=subprocess.DEVNULL, stdout=subprocess.DEVNULL, env=environment)
        self.processes.append(process)
        return process

    def start_routers(self, count):
        ports = [(free_port(), free_port(), free_port(), free_port()) for _ in range(count)]
        seeds = ",".join(f"127.0.0.1:{entry[3]}" for entry in ports[:3])
        for index, (caller, admin, peer, membership) in enumerate(ports):
            data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
            process = self.start(
                "mulberrywall-router", "--instance", f"router-{index}", "--data-centre", data_centre,
                "--platform", f"127.0.0.1:{self.platform}", "--seeds", seeds, "--caller-listen", f"127.0.0.1:{caller}",
                "--admin-listen", f"127.0.0.1:{admin}", "--peer-listen", f"127.0.0.1:{peer}",
                "--membership-listen", f"127.0.0.1:{membership}", "--workers", "2")
            self.routers.append(Router(process, f"router-{index}", data_centre, caller, admin))
        for router in self.routers:
            wait_until("all members", lambda router=router: len(router.status().get("members", [])) == count)
            wait_until("a configuration", lambda router=router: router.status()["ready"])

    def write_files(self):
        """Writes the base file and the overlays; returns the path of the base and the comma-separated paths of the overlays."""
        root = pathlib.Path(self.directory.name)
        base = ["[classes.short]", "tier = 0", 'first-token = "1900ms"', 'between-tokens = "57ms"', "",
                "[pools.m]", 'kind = "model-engine"', f"queue-limit = {1000 + self.revision_marker}", ""]
        for index in range(self.organisations):
            key = KEY if index == 0 else f"{KEY}-{index}"
            digest = hashlib.sha256(key.encode()).hexdigest()
            base += [f"[organisations.org-{index}]", f'key-hashes = ["{digest}"]', 'allowed-classes = ["short"]', ""]
        (root / "base.toml").write_text("\n".join(base))
        overlays = []
        for number, data_centre in enumerate(DATA_CENTRES):
            lines = [f'data-centre = "{data_centre}"', ""]
            for index, port in enumerate(self.engine_ports):
                if index % len(DATA_CENTRES) == number:
                    lines += self.endpoint(f"engine-{index}", port)
            for index in range(self.idle_endpoints):
                if index % len(DATA_CENTRES) == number:
                    # Connections to port 9 of a loopback address are refused at once, so the endpoint needs no process.
                    lines += self.endpoint(f"idle-{index}", 9, f"127.1.{index // 250}.{index % 250 + 1}")
            overlay = root / f"{data_centre}.toml"
            overlay.write_text("\n".join(lines))
            overlays.append(str(overlay))
        return str(root / "base.toml"), ",".join(overlays)

    @staticmethod
    def endpoint(name, port, address="127.0.0.1"):
        return [f"[endpoints.{name}]", f'address = "{address}"', f"port = {port}", 'pools = ["m"]',
                "maximum-concurrency = 512", 'supports = ["resume", "priorities"]', ""]

    def apply(self):
        base, overlays = self.write_files()
        subprocess.run([str(self.binaries / "mulberrywall-ctl"), "apply", "--platform", f"127.0.0.1:{self.platform}",
                        "--base", base, "--overlay", overlays], check=True, stdout=subprocess.DEVNULL)

    def change_configuration(self):
        """Applies a revision that differs from the previous one in the queue limit of the pool."""
        self.revision_marker += 1
        self.apply()

    def sample(self):
        """Returns CPU time, resident memory and control traffic counters of each router."""
        return [{"cpu": router.cpu_seconds(), "resident": router.resident_bytes(), "control": router.status()["control"]}
                for router in self.routers]

    def close(self):
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        self.directory.cleanup()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()


def mean(values):
    values = list(values)
    return sum(values) / len(values)


def cost_between(before, after, seconds):
    """Returns the mean cost of one router between two samples.

    Bytes are UDP and TCP payload of control traffic, sent and received.
    """
    pairs = list(zip(before, after))

    def rate(member):
        return mean((second["control"][member] - first["control"][member]) / seconds for first, second in pairs)

    return {
        "cpuPercent": round(100 * mean((second["cpu"] - first["cpu"]) / seconds for first, second in pairs), 3),
        "residentMb": round(mean(second["resident"] for _, second in pairs) / 1e6, 2),
        "membershipBytesPerSecond": round(rate("membershipBytesSent") + rate("membershipBytesReceived"), 1),
        "peerBytesPerSecond": round(rate("peerBytesSent") + rate("peerBytesReceived"), 1),
    }


def idle_cost(deployment, seconds):
    """Returns the mean cost of one router without requests over the given time."""
    before = deployment.sample()
    time.sleep(seconds)
    return cost_between(before, deployment.sample(), seconds)


async def complete(port, tokens, prompt):
    """Sends a streamed completion request; returns whether the stream ended with [DONE]."""
    body = json.dumps({"model": "m", "stream": True, "max_tokens": tokens, "prompt": prompt})
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write((f"POST /v1/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\n"
                  f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode())
    response = await reader.read(-1)
    writer.close()
    return b"[DONE]" in response


async def drive(ports, rate, seconds, tokens):
    """Sends requests at a fixed rate, independently of earlier ones (open loop); returns how many completed."""
    start = time.monotonic()
    tasks = []
    for index in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, start + index / rate - time.monotonic()))
        tasks.append(asyncio.create_task(complete(ports[index % len(ports)], tokens, f"prompt {index}")))
    return sum(await asyncio.gather(*tasks))


def sweep_members(arguments):
    for count in arguments.points or [3, 6, 12, 24]:
        with Deployment(arguments.binaries, count) as deployment:
            time.sleep(3)  # excludes start-up traffic from the measurement
            yield {"routers": count, **idle_cost(deployment, arguments.seconds)}


def sweep_requests(arguments):
    for rate in arguments.points or [0, 60, 120, 240]:
        # With two routers in each data centre, half of the permits come from a remote owner.
        with Deployment(arguments.binaries, LOADED_ROUTERS) as deployment:
            ports = [router.caller for router in deployment.routers]
            before = deployment.sample()
            start = time.monotonic()
            completed = asyncio.run(drive(ports, rate, arguments.seconds, 5)) if rate else time.sleep(arguments.seconds) or 0
            seconds = time.monotonic() - start
            yield {"requestsPerSecondPerRouter": round(rate / LOADED_ROUTERS, 1), "completed": completed, "sent": int(rate * arguments.seconds),
                   **cost_between(before, deployment.sample(), seconds)}


def sweep_streams(arguments):
    tokens = 200
    for streams in arguments.points or [0, 100, 200, 400]:
        # An inter-token latency of 50 ms for every batch size, so that only the number of streams varies.
        engine = ["--base-token-us", "50000", "--batch-slope", "0", "--batch-limit", "1000"]
        with Deployment(arguments.binaries, LOADED_ROUTERS, engine_arguments=engine) as deployment:
            ports = [router.caller for router in deployment.routers]

            async def hold():
                tasks = [asyncio.create_task(complete(ports[index % LOADED_ROUTERS], tokens, f"prompt {index}")) for index in range(streams)]
                await asyncio.sleep(2)
                before = deployment.sample()
                start = time.monotonic()
                await asyncio.sleep(5)
                cost = cost_between(before, deployment.sample(), time.monotonic() - start)
                return sum(await asyncio.gather(*tasks)), cost

            completed, cost = asyncio.run(hold())
            yield {"streamsPerRouter": round(streams / LOADED_ROUTERS, 1), "tokensPerSecondPerRouter": round(streams / LOADED_ROUTERS * 20), "completed": completed, **cost}


def sweep_organisations(arguments):
    for organisations in arguments.points or [10, 1000, 2900]:
        with Deployment(arguments.binaries, 3, organisations=organisations) as deployment:
            yield {"organisations": organisations, **idle_cost(deployment, arguments.seconds)}


def sweep_endpoints(arguments):
    for endpoints in arguments.points or [0, 300, 1650]:
        with Deployment(arguments.binaries, 3, idle_endpoints=endpoints) as deployment:
            yield {"endpoints": endpoints, **idle_cost(deployment, arguments.seconds)}


def sweep_changes(arguments):
    for interval in arguments.points or [0, 5, 1]:
        with Deployment(arguments.binaries, 6, organisations=arguments.organisations) as deployment:
            delays = []
            before = deployment.sample()
            start = time.monotonic()
            while time.monotonic() - start < arguments.seconds:
                if interval == 0:
                    time.sleep(1)
                    continue
                applied_at = time.monotonic()
                expected_revision = max(router.status()["revision"] for router in deployment.routers) + 1
                deployment.change_configuration()
                wait_until("the revision", lambda: all(router.status()["revision"] >= expected_revision for router in deployment.routers))
                delays.append(time.monotonic() - applied_at)
                time.sleep(max(0.0, interval - delays[-1]))
            seconds = time.monotonic() - start
            yield {"changesPerSecond": round(len(delays) / seconds, 3), "organisations": arguments.organisations,
                   "inForceSecondsWorst": round(max(delays, default=0.0), 2), **cost_between(before, deployment.sample(), seconds)}


SWEEPS = {
    "members": sweep_members,
    "requests": sweep_requests,
    "streams": sweep_streams,
    "organisations": sweep_organisations,
    "endpoints": sweep_endpoints,
    "changes": sweep_changes,
}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("sweep", choices=SWEEPS, help="size to vary")
    parser.add_argument("--points", type=int, nargs="+", help="sizes to measure instead of the usual ones")
    parser.add_argument("--binaries", default="build/release/bin", help="folder of the built programs")
    parser.add_argument("--seconds", type=float, default=10.0, help="length of each measurement")
    parser.add_argument("--organisations", type=int, default=2900, help="organisations in the sweep of changes")
    arguments = parser.parse_args()
    for point in SWEEPS[arguments.sweep](arguments):
        print(json.dumps({"sweep": arguments.sweep, **point}), flush=True)


if __name__ == "__main__":
    main()
