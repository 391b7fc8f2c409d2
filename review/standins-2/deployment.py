"""Gateways as separate processes, started with the command and the settings of the deploy file."""

import asyncio
import contextlib
import os
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

ZONES = {"serra-a": "serra", "vale-a": "vale"}
_PORTS = {"callers": 8548, "readiness": 8542, "directory": 8546, "status": 8544, "peers": 7540}
_START_S = 15.0


def header(head, name):
    """Return the value of a header field, ``None`` without it."""
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name.lower():
            return value.strip()
    return None


def desired_state(version, routes, services):
    """Return the operator's desired state."""
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1000000,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15000ms",
    }
    service = {"HealthPath": "/health", "MaxConns": 720, "Warmup": "3s", "WarmupPerS": 7.6}
    return {
        "Version": f"r{version}",
        "Resources": [
            *({"EntryKind": "Routes", "Metadata": {"Name": n}, "Spec": s} for n, s in routes),
            *(
                {"EntryKind": "Services", "Metadata": {"Name": name}, "Spec": service}
                for name in services
            ),
            {"EntryKind": "Limits", "Metadata": {"Name": "limits"}, "Spec": limits},
        ],
    }


def route(service, prefix, kind, timeout_ms=4000):
    """Return the specification of a route."""
    return {
        "Host": "a.example",
        "Prefix": prefix,
        "Kind": kind,
        "Timeout": f"{timeout_ms}ms",
        "Slo": "600ms",
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Sticky": False,
    }


def entry(service, address, zone, born, state="ready", concurrency=8):
    """Return the entry of a server, with all its fields."""
    return {
        "Address": address,
        "Info": {"Service": service, "Version": "v1", "Zone": zone, "Concurrency": concurrency},
        "Status": {"State": state, "Sequence": 1, "WarmupLeft": "0ms"},
        "born": born,
    }


class Deployment:
    """Gateways on loopback addresses of their own.

    :param store_port: port of the store on the address ``host(250)``.
    :param vms: number of gateways, one in each zone in turn.
    """

    def __init__(self, vms):
        self.network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.vms = range(vms)
        self._directory = Path(tempfile.mkdtemp(prefix="review-"))
        self._processes = {}
        self._record = []
        self._started_at = time.monotonic()

    def host(self, number):
        return f"{self.network}.{number}"

    def vm_host(self, vm):
        return self.host(vm + 1)

    def note(self, text):
        """Add a line to the record."""
        self._record.append(f"{time.monotonic() - self._started_at:8.3f} {text}")

    def write_record(self, directory):
        (Path(directory) / "record.txt").write_text("\n".join(self._record) + "\n")

    def log(self, vm):
        """Return what a gateway has logged."""
        return (self._directory / f"vm-{vm}.log").read_text()

    async def start(self, store_port):
        """Start all gateways, and wait until they are ready.

        :raises TimeoutError: when they are not ready in time.
        """
        self._store_port = store_port
        for vm in self.vms:
            await self.start_vm(vm)
        for vm in self.vms:
            await self.wait_until_ready(vm)

    async def start_vm(self, vm):
        settings = self._directory / f"vm-{vm}.ini"
        settings.write_text(self._settings(vm))
        with open(ROOT / "deploy/system.toml", "rb") as file:
            command = tomllib.load(file)["roles"]["gateway"]["run"].split()
        command[0] = sys.executable if command[0] == "python3" else command[0]
        kept = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        with open(self._directory / f"vm-{vm}.log", "ab") as log:
            self._processes[vm] = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "HIBISCUSHAVEN_CONFIG": str(settings),
                },
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
            )
        self.note(f"vm-{vm} started")

    async def wait_until_ready(self, vm):
        async with asyncio.timeout(_START_S):
            while not await self._is_ready(vm):
                await asyncio.sleep(0.1)

    def signal(self, vm, number):
        self.note(f"vm-{vm} gets {signal.Signals(number).name}")
        self._processes[vm].send_signal(number)

    def is_running(self, vm):
        return self._processes[vm].returncode is None

    async def close(self):
        """End all processes that were started here."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
        for process in self._processes.values():
            await process.wait()
        shutil.rmtree(self._directory, ignore_errors=True)

    async def _is_ready(self, vm):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(
                self.vm_host(vm), _PORTS["readiness"]
            )
            writer.write(b"GET /v1/readiness HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        return False

    def _settings(self, vm):
        """Return the settings file of a gateway, from the template of the deploy file."""
        zone = list(ZONES)[vm % len(ZONES)]
        ip = self.vm_host(vm)
        values = {
            "Node": f"front-{zone}-{vm}",
            "Region": ZONES[zone],
            "Zone": zone,
            "Ip": ip,
            "Limits.CpuShare": "0.602",
            "Limits.Cores": "1",
            "Limits.LinkMbps": "700.0",
            "Listen.Front": f"{ip}:{_PORTS['callers']}",
            "Listen.Ready": f"{ip}:{_PORTS['readiness']}",
            "Listen.Directory": f"{ip}:{_PORTS['directory']}",
            "Listen.Control": f"{ip}:{_PORTS['status']}",
            "InternalPorts.0": str(_PORTS["peers"]),
            "Seeds": ",".join(f"{self.vm_host(other)}:{_PORTS['status']}" for other in self.vms),
            "Platform.Address": f"{self.host(250)}:{self._store_port}",
            "Bounds.Grace": "6s",
            "Heartbeat": "1500ms",
            "Bounds.MaxShift": "0.15",
            "Bounds.RetryWindow": "10s",
            "Bounds.RetryRatio": "0.2",
            "Bounds.RetrySlack": "120",
        }
        text = (ROOT / "deploy/gateway.ini").read_text()
        zones = ",".join(f"{name}:{region}" for name, region in ZONES.items())
        text = text.replace("{{#Zones}}{{@}}:{{.}}{{,}}{{/Zones}}", zones)
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        return text


class Connection:
    """Connection of a client to a gateway, for one request after the other."""

    def __init__(self, host):
        self._host = host
        self._reader = self._writer = None

    async def send(self, method, path, request_id, body=b"", deadline_ms=4000):
        """Send a request."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, _PORTS["callers"]
            )
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        self._writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n{length}\r\n".encode() + body
        )
        await self._writer.drain()

    async def read_head(self):
        """Return status and head of the response."""
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
        return int(head.split(" ")[1]), head

    async def read_body(self, head):
        """Return the body of a response with a length."""
        return await self._reader.readexactly(int(header(head, "Content-Length") or 0))

    async def read_some(self, size):
        return await self._reader.read(size)

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
