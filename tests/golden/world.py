"""A session: entry VMs, platform, backend servers and callers on virtual time."""

import asyncio
import gc
import hashlib
import json
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from hibiscushaven.documents import TeamRow, TeamToken, parse_document
from hibiscushaven.documents.rows import team_key
from hibiscushaven.settings import Deployment, parse_deployment
from hibiscushaven.tablestore import MemoryPlatform, Write

from .backends import BackendFleet
from .callers import Call, Reply, judge
from .network import PLATFORM, Network
from .observer import Observer
from .processes import SessionLoop
from .vms import UNIX_START, Vm

__all__ = ["World", "describe", "run_session"]


class World:
    """All parts of a session, and its transcript.

    :ivar token: bearer token of the callers, if the documents list any.
    """

    def __init__(self, source: str, folder: Path, seed: int = 1) -> None:
        self.seed = seed
        self.token: str | None = None
        self.lines: list[str] = []
        self.deployment: Deployment = parse_deployment(source, folder).ok
        self.network = Network(self.deployment.delays_ms, self.deployment.platform_region)
        self.platform = MemoryPlatform()
        self.fleet = BackendFleet(lambda: UNIX_START + self.now)
        self.vms: dict[str, Vm] = {}
        self.calls: list[Call] = []
        self.observer = Observer(self)
        self._starts: Counter[str] = Counter()
        self._started: list[Vm] = []
        self._tasks: list[asyncio.Task] = []

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def serving(self) -> list[Vm]:
        return [vm for vm in self.vms.values() if vm.is_serving]

    def log(self, who: str, what: str) -> None:
        self.lines.append(f"{self.now:8.2f}  {who:<12} {what}")

    async def begin(
        self, documents: dict[str, str], start_s: float = 2.0, settle_s: float = 6.0
    ) -> None:
        """Start all VMs, publish the documents and wait until the VMs can serve.

        :param start_s: time before the documents, in which the VMs join the rosters.
        :param settle_s: time after them.
        """
        parsed = {service: parse_document(text).ok for service, text in documents.items()}
        for team in sorted({document.team for document in parsed.values()}):
            digest = hashlib.sha256(_token(team).encode()).hexdigest()
            row = TeamRow(team, (TeamToken("operator", digest),)).encode()
            await self.platform.transact((Write(team_key(team), row, 0),))
        for settings in self.deployment.vms:
            self.vms[settings.name] = self._make(settings)
        self.list_vms()
        self._tasks.append(asyncio.create_task(self.observer.run()))
        for vm in self.vms.values():
            await vm.start()
        await asyncio.sleep(start_s)
        first = self.serving[0].name
        for service, text in documents.items():
            for server in parsed[service].servers:
                server = self.fleet.add(server)
                server.on_crash = lambda item: self.log(item.name, "crashes")
            await self.publish(first, service, text, None)
        await asyncio.sleep(settle_s)
        self.observer.is_quiet = False
        self.observer.look()

    def list_vms(self) -> None:
        """Bring the platform's list up to date."""
        self.platform.set_vms(tuple(vm.entry for vm in self.serving))

    async def restart(self, name: str) -> Vm:
        """Start a VM again, on its old address."""
        vm = self.vms[name] = self._make(self.vms[name].settings)
        self.log(name, "starts again")
        self.list_vms()
        await vm.start()
        return vm

    async def stop(self, name: str) -> None:
        """Stop a VM as planned."""
        self.log(name, "is told to stop")
        vm = self.vms[name]
        vm.is_leaving = True
        self.list_vms()
        await vm.stop()
        self.log(name, "has stopped")
        self.list_vms()

    def kill(self, name: str) -> None:
        self.log(name, "dies")
        self.vms[name].kill()
        self.list_vms()

    def isolate(self, domain: str) -> None:
        """Cut a failure domain off from all others and from the platform."""
        for other in (*(item.name for item in self.deployment.failure_domains), PLATFORM):
            if other != domain:
                self.network.cut(domain, other)

    async def publish(self, vm: str, service: str, text: str, revision: int | None) -> Reply:
        """Edit a document at one VM."""
        headers = {"authorization": f"Bearer {_token(parse_document(text).ok.team)}"}
        if revision is not None:
            headers["if-match"] = f'"{revision}"'
        target = f"/v1/documents/{service}"
        reply = await self.vms[vm].request("PUT", target, headers, text.encode(), 60.0)
        base = "a first document" if revision is None else f"an edit of revision {revision}"
        if reply is None:
            result = "no answer"
        elif reply.status < 300:
            result = f"accepted as revision {json.loads(reply.body)['revision']}"
        else:
            result = f"refused with {reply.status}: {reply.reason}"
        self.log("operator", f"sends {base} of {service} to {vm}: {result}")
        return reply

    async def call(
        self, vm: str, service: str, method: str, path: str, key: str | None = None, body=b""
    ) -> Call:
        """Send a caller's request to a VM and check the answer."""
        call = Call(len(self.calls) + 1, method, path, body, key, vm, self.now)
        self.calls.append(call)
        headers = {"x-call": str(call.number)}
        if self.token is not None:
            headers["authorization"] = f"Bearer {self.token}"
        if key is not None:
            headers["idempotency-key"] = key
        target = f"/v1/services/{service}{path}"
        if not self.vms[vm].is_serving:
            call.outcome = "not-run"
        else:
            call.reply = await self.vms[vm].request(method, target, headers, body)
            call.outcome = judge(call, call.reply)
        call.ended_at = self.now
        return call

    async def tell(self, *args, **kwargs) -> Call:
        """Do a call and log it."""
        call = await self.call(*args, **kwargs)
        key = f" key {call.key}" if call.key else ""
        name = f"{args[1]} {call.method} {call.target}{key}"
        self.log("caller", f"{name} at {call.vm}: {describe(call)}")
        return call

    async def load(
        self, label: str, rate: float, seconds: float, make: Callable[[int], Awaitable[Call]]
    ) -> list[Call]:
        """Do calls at a steady rate and log their number by outcome."""
        tasks = []
        for number in range(round(rate * seconds)):
            tasks.append(asyncio.create_task(make(number)))
            await asyncio.sleep(1 / rate)
        calls = await asyncio.gather(*tasks)
        outcomes = Counter(_kind(call) for call in calls)
        found = ", ".join(f"{count} {name}" for name, count in sorted(outcomes.items()))
        self.log("callers", f"{label}: {found}")
        return calls

    def totals(self) -> None:
        """End the transcript."""
        self.lines.append("")
        outcomes = Counter(call.outcome for call in self.calls)
        for name, count in sorted(outcomes.items()):
            self.lines.append(f"requests with outcome {name}: {count}")
        self._totals_of_servers()
        runs = Counter(self.fleet.ledger.keys.values())
        for count, keys in sorted(runs.items()):
            self.lines.append(f"idempotency keys that ran {count} times: {keys}")

    def _totals_of_servers(self) -> None:
        groups: dict[tuple[str, str], list] = {}
        for server in self.fleet.servers.values():
            service = server.name.removesuffix(f"-{server.name.rpartition('-')[2]}")
            groups.setdefault((service, server.place), []).append(server)
        for (service, _), servers in sorted(groups.items()):
            peaks = ", ".join(f"{item.peak} of {item.slots}" for item in servers)
            started = sum(item.started for item in servers)
            refused = sum(item.refused for item in servers)
            self.lines.append(
                f"servers {service}: most in progress {peaks}; {started} started, {refused} refused"
            )

    def check(self) -> None:
        """Assert the invariants that hold in every session."""
        for server in self.fleet.servers.values():
            assert server.peak <= server.slots, f"{server.name}: {server.peak} in progress"
        ledger = self.fleet.ledger
        repeated = {key: count for key, count in ledger.keys.items() if count > 1}
        assert not repeated, f"keys that ran more than once: {repeated}"
        for call in self.calls:
            runs = ledger.calls[str(call.number)]
            if call.outcome == "not-run":
                assert runs == 0, f"call {call.number} was reported not run and ran {runs} times"
            if call.is_answered and not call.reply.headers.get("idempotent-replayed"):
                assert runs > 0, f"call {call.number} was answered without a run"
        assert not self.observer.reverts, self.observer.reverts

    def check_none_cut_off(self) -> None:
        """Assert that no request in progress was cut off, for sessions of planned changes."""
        found = [call for call in self.calls if call.outcome not in ("run", "not-run")]
        assert not found, [(call.number, call.outcome, call.target) for call in found]

    async def end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.network.is_over = True
        self.platform.faults.is_down = True
        for vm in self._started:
            vm.process.release()

    def _make(self, settings) -> Vm:
        self._starts[settings.name] += 1
        self._started.append(Vm(self, settings, self._starts[settings.name]))
        return self._started[-1]


def describe(call: Call, is_timed: bool = True) -> str:
    """Return what a caller got, in words."""
    took = f" after {(call.ended_at - call.started_at) * 1000:.0f} ms" if is_timed else ""
    if call.reply is None:
        return f"no connection{took}" if call.outcome == "not-run" else f"no answer{took}"
    replayed = ", replayed" if call.reply.headers.get("idempotent-replayed") else ""
    reason = f" ({call.reply.reason})" if call.reply.reason else ""
    return f"{call.reply.status} {call.outcome}{replayed}{reason}{took}"


def _token(team: str) -> str:
    return f"token-of-{team}"


def _kind(call: Call) -> str:
    if call.is_answered:
        return "answered"
    reason = f" ({call.reply.reason})" if call.reply is not None and call.reply.reason else ""
    return f"{call.outcome}{reason}"


def run_session(world: World, script: Callable[[World], Awaitable[None]]) -> str:
    """Run a session to its end and return its transcript."""

    async def run() -> None:
        try:
            await script(world)
        finally:
            world.totals()
            await world.end()

    # Collections depend on what ran before in the process, and they close abandoned generators.
    gc.collect()
    gc.disable()
    try:
        with asyncio.Runner(loop_factory=SessionLoop) as runner:
            runner.run(run())
    finally:
        gc.enable()
    return "\n".join(world.lines) + "\n"
