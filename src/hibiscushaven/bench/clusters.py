"""Measures of whole deployments in one process: propagation of documents, and drains."""

import asyncio
import random
import re
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from hibiscushaven.standins.backend_model import Counters

from .local_deployment import DEPLOYMENTS, LocalDeployment, running_deployment
from .measures import Bound, Finding, Scale, measure

__all__ = ["documents", "drain"]

_SEED = 23
_MAX_LATENCY_US = 60_000_000
_CALLER_COUNT = 12
_THINK_TIME_S = 0.01
# Service time of a long request; well below the deadline of 2 s, so that a late answer means that
# the request was cut off.
_LONG_REQUEST_MS = 500
_READY_TIMEOUT_S = 30.0


def _with_comment(text: str, number: int) -> str:
    return f"# edit {number}\n{text}"


async def _measure_edit_times(
    local: LocalDeployment, edits: int, delay_s: float, is_pushing: bool
) -> HdrHistogram:
    rng = random.Random(_SEED)
    times = HdrHistogram(1, _MAX_LATENCY_US, 3)
    local.platform.delay_s = delay_s
    local.set_pushing(is_pushing)
    text = local.text
    for number in range(edits):
        await local.put(_with_comment(text, number), rng.randrange(len(local.daemons)))
        times.record_value(max(1, int(1e6 * await local.wait_until_in_force())))
        # Spreads the edits over all phases of the poll interval.
        await asyncio.sleep(rng.uniform(0.0, 0.2))
    local.platform.delay_s = 0.0
    local.set_pushing(True)
    await local.put(text)
    await local.wait_until_in_force()
    return times


async def _measure_documents(name: str, scale: Scale) -> list[Finding]:
    findings = []
    slow_s = scale.table_delay_s
    async with running_deployment(name, scale.max_vms) as local:
        for table_speed, delay_s in (("table fast", 0.0), (f"table {slow_s:g} s", slow_s)):
            edits = scale.edit_count if not delay_s else max(1, scale.edit_count // 6)
            polled = await _measure_edit_times(local, max(1, edits // 6), delay_s, is_pushing=False)
            pushed = await _measure_edit_times(local, edits, delay_s, is_pushing=True)
            for label, percentile, limit in (("median", 50, 1.0), ("maximum", 100, 5.0)):
                polled_s, pushed_s = (
                    item.get_value_at_percentile(percentile) / 1e6 for item in (polled, pushed)
                )
                case = f"{name} {len(local.daemons)} VMs {table_speed} {label}"
                finding = Finding("documents", case, "s", pushed_s, "polls", polled_s, Bound(limit))
                findings.append(finding)
    return findings


@measure("documents")
def documents(scale: Scale) -> Iterator[Finding]:
    """Time from the commit of a document edit until it is in force on all VMs."""
    for name in list(DEPLOYMENTS)[: scale.max_cases]:
        yield from asyncio.run(_measure_documents(name, scale))


class _TimedCounters(Counters):
    """Counters that also record when the last request started, in monotonic seconds."""

    last_start_s = 0.0

    def start(self, key: str) -> None:
        self.last_start_s = time.monotonic()
        Counters.start(self, key)


@dataclass(slots=True)
class _Traffic:
    """Callers that send short requests and, with a probability of 5%, long ones.

    :ivar refused: requests that were refused as not run.
    :ivar cut_off: requests that failed in another way.
    """

    local: LocalDeployment
    is_stopped: bool = False
    answered: int = 0
    refused: int = 0
    cut_off: int = 0
    failures: Counter[str] = field(default_factory=Counter)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        rng = random.Random(_SEED)
        for number in range(_CALLER_COUNT):
            caller = random.Random(rng.random())
            self.tasks.append(asyncio.create_task(self._call(number, caller)))

    async def stop(self) -> None:
        self.is_stopped = True
        await asyncio.gather(*self.tasks)

    async def _call(self, number: int, rng: random.Random) -> None:
        target = self.local.example.target
        while not self.is_stopped:
            query = f"?ms={_LONG_REQUEST_MS}" if rng.random() < 0.05 else ""
            try:
                status, outcome, _ = await self.local.request(
                    rng.randrange(len(self.local.daemons)), target + query
                )
            except Exception as error:
                raise RuntimeError(f"caller {number} failed") from error
            self._count_response(status, outcome)
            await asyncio.sleep(_THINK_TIME_S * rng.uniform(0.5, 1.5))

    def _count_response(self, status: int, outcome: str) -> None:
        if status == 200:
            self.answered += 1
        elif outcome == "not-run":
            self.refused += 1
        else:
            self.cut_off += 1
            self.failures[f"{status} {outcome}"] += 1


def _mark_leaving(text: str, section: str, name: str) -> str:
    pattern = rf"(\[{section} {re.escape(name)}\]\n)"
    edited, count = re.subn(pattern, r"\1state = leaving\n", text)
    if count != 1:
        raise ValueError(f"no section [{section} {name}]")
    return edited


async def _measure_drain(
    local: LocalDeployment, section: str, name: str, servers: list[str], observation_s: float
) -> float:
    """Return the seconds from the commit until the leaving servers received their last request."""
    text = local.text
    counters = [local.backends[server].counters for server in servers]
    await local.put(_mark_leaving(text, section, name), vm_index=1)
    await asyncio.sleep(observation_s)
    last_start_s = max(item.last_start_s for item in counters)
    committed = local.commit_times[local.revision]
    await local.put(text)
    await local.wait_until_in_force()
    return max(0.0, last_start_s - committed)


async def _measure_drains(name: str, scale: Scale, is_pushing: bool) -> tuple[dict, _Traffic]:
    async with running_deployment(name, scale.max_vms) as local:
        for stand_in in local.backends.values():
            stand_in.counters = _TimedCounters()
        document = local.daemons[0].node.catalog.get(local.example.service).document
        traffic = _Traffic(local)
        traffic.start()
        try:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                while traffic.answered < 2 * _CALLER_COUNT:
                    await asyncio.sleep(0.1)
            local.set_pushing(is_pushing)
            places = {vm.failure_domain for vm in local.deployment.vms}
            names = [item.name for item in document.servers if item.place in places]
            times: dict[str, list[float]] = {"server": [], "place": []}
            for server in random.Random(_SEED).sample(names, min(scale.drain_count, len(names))):
                times["server"].append(
                    await _measure_drain(
                        local, "server", server, [server], scale.drain_observation_s
                    )
                )
            place = document.places[0].name
            servers = [item.name for item in document.servers_of(place)]
            times["place"].append(
                await _measure_drain(local, "place", place, servers, scale.drain_observation_s)
            )
        finally:
            await traffic.stop()
        return times, traffic


@measure("drain")
def drain(scale: Scale) -> Iterator[Finding]:
    """Time from the commit of ``state = leaving`` to the last new request; requests cut off."""
    for name in list(DEPLOYMENTS)[: scale.max_cases]:
        polled, _ = asyncio.run(_measure_drains(name, scale, is_pushing=False))
        pushed, traffic = asyncio.run(_measure_drains(name, scale, is_pushing=True))
        for section in ("server", "place"):
            case = f"{name} {section} leaving, last new request"
            polled_s, pushed_s = max(polled[section]), max(pushed[section])
            yield Finding("drain", case, "s", pushed_s, "polls", polled_s, Bound(3.0))
        kinds = ", ".join(f"{count} x {kind}" for kind, count in traffic.failures.items())
        case = f"{name} cut off" + (f" ({kinds})" if kinds else "")
        yield Finding("drain", case, "requests", traffic.cut_off, bound=Bound(0.0))
        sent = traffic.answered + traffic.refused + traffic.cut_off
        yield Finding("drain", f"{name} refused as not run", "share", traffic.refused / sent)
