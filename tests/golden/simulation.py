"""Simulation of entry VMs, platform, backend servers and callers on virtual time."""

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
from .callers import Call, Response, determine_outcome
from .network import PLATFORM, Network
from .observer import Observer
from .processes import SimulationLoop
from .vms import UNIX_START, Vm

__all__ = ["Simulation", "describe_result", "run_simulation"]


class Simulation:
    """All parts of a simulated deployment, and the transcript of a run.

    :ivar token: bearer token of the callers, if the documents list any.
    """

    def __init__(self, source: str, directory: Path, seed: int = 1) -> None:
        self.seed = seed
        self.token: str | None = None
        self.lines: list[str] = []
        self.deployment: Deployment = parse_deployment(source, directory).ok
        self.network = Network(self.deployment.delays_ms, self.deployment.platform_region)
        self.platform = MemoryPlatform()
        self.fleet = BackendFleet(lambda: UNIX_START + self.now)
        self.vms: dict[str, Vm] = {}
        self.calls: list[Call] = []
        self.observer = Observer(self)
        self._start_counts: Counter[str] = Counter()
        self._created_vms: list[Vm] = []
        self._tasks: list[asyncio.Task] = []

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time()

    @property
    def serving(self) -> list[Vm]:
        return [vm for vm in self.vms.values() if vm.is_serving]

    def log(self, source: str, text: str) -> None:
        self.lines.append(f"{self.now:8.2f}  {source:<12} {text}")

    async def start(
        self, documents: dict[str, str], start_s: float = 2.0, settle_s: float = 6.0
    ) -> None:
        """Start all VMs, publish the documents and wait until the VMs can serve.

        :param start_s: time before the documents are published, in which the VMs join the rosters.
        :param settle_s: time after the documents are published.
        """
        parsed = {service: parse_document(text).ok for service, text in documents.items()}
        for team in sorted({document.team for document in parsed.values()}):
            digest = hashlib.sha256(_token(team).encode()).hexdigest()
            row = TeamRow(team, (TeamToken("operator", digest),)).encode()
            await self.platform.transact((Write(team_key(team), row, 0),))
        for settings in self.deployment.vms:
            self.vms[settings.name] = self._create_vm(settings)
        self.update_vm_list()
        self._tasks.append(asyncio.create_task(self.observer.run()))
        for vm in self.vms.values():
            await vm.start()
        await asyncio.sleep(start_s)
        publishing_vm = self.serving[0].name
        for service, text in documents.items():
            for server in parsed[service].servers:
                server = self.fleet.add(server)
                server.on_crash = lambda item: self.log(item.name, "crashes")
            await self.publish(publishing_vm, service, text, None)
        await asyncio.sleep(settle_s)
        self.observer.logs_documents_only = False
        self.observer.observe()

    def update_vm_list(self) -> None:
        """Set the platform's list of VMs to those that are serving."""
        self.platform.set_vms(tuple(vm.record for vm in self.serving))

    async def restart(self, name: str) -> Vm:
        """Start a VM again on its previous address."""
        vm = self.vms[name] = self._create_vm(self.vms[name].settings)
        self.log(name, "starts again")
        self.update_vm_list()
        await vm.start()
        return vm

    async def stop(self, name: str) -> None:
        """Stop a VM as a planned change does: it leaves first."""
        self.log(name, "is told to stop")
        vm = self.vms[name]
        vm.is_leaving = True
        self.update_vm_list()
        await vm.stop()
        self.log(name, "has stopped")
        self.update_vm_list()

    def kill(self, name: str) -> None:
        self.log(name, "dies")
        self.vms[name].kill()
        self.update_vm_list()

    def isolate(self, domain: str) -> None:
        """Partition a failure domain from all others and from the platform."""
        for other in (*(item.name for item in self.deployment.failure_domains), PLATFORM):
            if other != domain:
                self.network.partition(domain, other)

    async def publish(self, vm: str, service: str, text: str, revision: int | None) -> Response:
        """Publish a document at a VM and log the result.

        :param revision: revision that the edit is based on, ``None`` for a first document.
        """
        headers = {"authorization": f"Bearer {_token(parse_document(text).ok.team)}"}
        if revision is not None:
            headers["if-match"] = f'"{revision}"'
        target = f"/v1/documents/{service}"
        response = await self.vms[vm].request("PUT", target, headers, text.encode(), 60.0)
        base = "a first document" if revision is None else f"an edit of revision {revision}"
        if response is None:
            result = "no answer"
        elif response.status < 300:
            result = f"accepted as revision {json.loads(response.body)['revision']}"
        else:
            result = f"refused with {response.status}: {response.reason}"
        self.log("operator", f"sends {base} of {service} to {vm}: {result}")
        return response

    async def call(
        self, vm: str, service: str, method: str, path: str, key: str | None = None, body=b""
    ) -> Call:
        """Send a caller's request to a VM and check that the response belongs to it."""
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
            call.response = await self.vms[vm].request(method, target, headers, body)
            call.outcome = determine_outcome(call, call.response)
        call.ended_at = self.now
        return call

    async def call_and_log(self, *args, **kwargs) -> Call:
        """Make a call and log its result."""
        call = await self.call(*args, **kwargs)
        key = f" key {call.key}" if call.key else ""
        name = f"{args[1]} {call.method} {call.target}{key}"
        self.log("caller", f"{name} at {call.vm}: {describe_result(call)}")
        return call

    async def run_load(
        self,
        label: str,
        calls_per_s: float,
        duration_s: float,
        send_call: Callable[[int], Awaitable[Call]],
    ) -> list[Call]:
        """Make calls at a constant rate and log their number by outcome."""
        tasks = []
        for number in range(round(calls_per_s * duration_s)):
            tasks.append(asyncio.create_task(send_call(number)))
            await asyncio.sleep(1 / calls_per_s)
        calls = await asyncio.gather(*tasks)
        outcomes = Counter(_outcome_label(call) for call in calls)
        outcome_counts = ", ".join(f"{count} {name}" for name, count in sorted(outcomes.items()))
        self.log("callers", f"{label}: {outcome_counts}")
        return calls

    def append_totals(self) -> None:
        """Append the totals of the run to the transcript."""
        self.lines.append("")
        outcomes = Counter(call.outcome for call in self.calls)
        for name, count in sorted(outcomes.items()):
            self.lines.append(f"requests with outcome {name}: {count}")
        self._append_server_totals()
        keys_by_run_count = Counter(self.fleet.run_counts.by_key.values())
        for count, keys in sorted(keys_by_run_count.items()):
            self.lines.append(f"idempotency keys that ran {count} times: {keys}")

    def _append_server_totals(self) -> None:
        groups: dict[tuple[str, str], list] = {}
        for server in self.fleet.servers.values():
            service = server.name.removesuffix(f"-{server.name.rpartition('-')[2]}")
            groups.setdefault((service, server.place), []).append(server)
        for (service, _), servers in sorted(groups.items()):
            peaks = ", ".join(f"{item.max_in_progress} of {item.slots}" for item in servers)
            started = sum(item.started for item in servers)
            refused = sum(item.refused for item in servers)
            self.lines.append(
                f"servers {service}: most in progress {peaks}; {started} started, {refused} refused"
            )

    def check_invariants(self) -> None:
        """Assert the invariants that hold in every run.

        No backend server has more requests in progress than slots, no idempotency key runs twice,
        reported outcomes are true and no document goes back to an older revision.
        """
        for server in self.fleet.servers.values():
            assert (
                server.max_in_progress <= server.slots
            ), f"{server.name}: {server.max_in_progress} in progress"
        run_counts = self.fleet.run_counts
        repeated = {key: count for key, count in run_counts.by_key.items() if count > 1}
        assert not repeated, f"keys that ran more than once: {repeated}"
        for call in self.calls:
            run_count = run_counts.by_call[str(call.number)]
            if call.outcome == "not-run":
                assert (
                    run_count == 0
                ), f"call {call.number} was reported not run and ran {run_count} times"
            if call.is_answered and not call.response.headers.get("idempotent-replayed"):
                assert run_count > 0, f"call {call.number} was answered without a run"
        assert not self.observer.revision_decreases, self.observer.revision_decreases

    def check_outcomes_known(self) -> None:
        """Assert that every call has a known outcome, as it must during planned changes."""
        unknown = [call for call in self.calls if call.outcome not in ("run", "not-run")]
        assert not unknown, [(call.number, call.outcome, call.target) for call in unknown]

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.network.is_closed = True
        self.platform.faults.is_down = True
        for vm in self._created_vms:
            vm.process.release()

    def _create_vm(self, settings) -> Vm:
        self._start_counts[settings.name] += 1
        self._created_vms.append(Vm(self, settings, self._start_counts[settings.name]))
        return self._created_vms[-1]


def describe_result(call: Call, includes_time: bool = True) -> str:
    """Return the result of a call as text for the transcript."""
    duration = f" after {(call.ended_at - call.started_at) * 1000:.0f} ms" if includes_time else ""
    if call.response is None:
        return f"no connection{duration}" if call.outcome == "not-run" else f"no answer{duration}"
    replayed = ", replayed" if call.response.headers.get("idempotent-replayed") else ""
    reason = f" ({call.response.reason})" if call.response.reason else ""
    return f"{call.response.status} {call.outcome}{replayed}{reason}{duration}"


def _token(team: str) -> str:
    return f"token-of-{team}"


def _outcome_label(call: Call) -> str:
    if call.is_answered:
        return "answered"
    reason = (
        f" ({call.response.reason})" if call.response is not None and call.response.reason else ""
    )
    return f"{call.outcome}{reason}"


def run_simulation(
    simulation: Simulation, scenario: Callable[[Simulation], Awaitable[None]]
) -> str:
    """Run a scenario to its end and return the transcript."""

    async def run() -> None:
        try:
            await scenario(simulation)
        finally:
            simulation.append_totals()
            await simulation.close()

    # Garbage collection closes abandoned generators, at times that depend on what ran before in
    # the process, so transcripts would differ between runs.
    gc.collect()
    gc.disable()
    try:
        with asyncio.Runner(loop_factory=SimulationLoop) as runner:
            runner.run(run())
    finally:
        gc.enable()
    return "\n".join(simulation.lines) + "\n"
