"""Reads of the platform's store by one VM, coordinated with the others of its region."""

import asyncio
import contextlib
import logging
import random
from collections.abc import Callable

from hibiscushaven.polling import RANK_DELAY_S, READ_INTERVAL_S, ReadSchedule
from hibiscushaven.process import Clock, keep_running, spawn
from hibiscushaven.routing import OperatorState

from .ports import PlatformStore, ServerListing, StoreError
from .sync_reporter import SyncReporter

__all__ = ["StoreReader"]

_LOG = logging.getLogger(__name__)

# Longest time that one read of the operator state waits for a change.
OPERATOR_WAIT_S = 1.5

# Age of the operator state after which VMs of later ranks read it in place of the first one.
OPERATOR_MAX_AGE_S = 2.0

# Shortest interval between checks of whether a read is due.
CHECK_INTERVAL_S = 0.2

# Longest interval between these checks. A distant read becomes due suddenly if many of the VMs
# ranked before this one fail.
MAX_CHECK_INTERVAL_S = 0.5

# Time since its last scheduled read of the backend servers for which a VM counts as the reader of
# the region, whatever its rank. The VM of the second rank reads them each second at most.
READER_LIFETIME_S = 1.5

_NEVER = -1e6


class StoreReader:
    """Reads the store according to this VM's rank, so that usually one VM of a region reads it.

    Explanation
    ===========

    The operator state ages slowly while its reader waits for a change, so that its age shows late
    that the reader has failed. The age of the backend servers shows it within a second. A VM that
    has to read them because of their age therefore reads the operator state as well.

    A VM that has just started and has no data waits according to its rank as well. If others are
    up, one of them has the data or is reading it, and its updates arrive sooner than the result
    of its own read would.

    :param rank: returns how many VMs of the region read before this one, given whether this one
        can read.
    :param known_operator: returns the operator state that this VM has.
    :param on_listing: called with the backend servers and the seconds since the previous read.
    :param on_operator: called with the operator state and its source.
    :param on_availability_change: called when the store becomes unavailable or available to this
        VM, so that the VMs of the region can update their ranks.
    :param reporter: counts the reads.
    :param observing_since: returns since when this VM would have heard of reads by others.
    """

    def __init__(
        self,
        store: PlatformStore,
        clock: Clock,
        rank: Callable[[bool], int],
        known_operator: Callable[[], OperatorState],
        on_listing: Callable[[ServerListing, float], None],
        on_operator: Callable[[OperatorState, str], None],
        on_availability_change: Callable[[], None],
        reporter: SyncReporter,
        observing_since: Callable[[], float] = lambda: _NEVER,
    ) -> None:
        self._observing_since = observing_since
        self._store = store
        self._now = clock.now
        self._reader_rank = rank
        self._known_operator = known_operator
        self._on_listing = on_listing
        self._on_operator = on_operator
        self._on_availability_change = on_availability_change
        self._reporter = reporter
        self._schedule = ReadSchedule()
        self._operator_confirmed_at = _NEVER
        self._servers_confirmed_at = _NEVER
        self._started_at = _NEVER
        self._servers_read_at = _NEVER
        self._servers_requested = asyncio.Event()
        self._operator_requested = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def can_read(self) -> bool:
        """Whether this VM's last call of the store succeeded."""
        return not self._schedule.is_failing

    @property
    def operator_confirmed_at(self) -> float:
        """Time of the latest read by any VM that returned the operator state held here."""
        return self._operator_confirmed_at

    @property
    def servers_confirmed_at(self) -> float:
        """Time of the latest read by any VM that returned the backend servers known here."""
        return self._servers_confirmed_at

    def servers_gap_s(self, read_at: float) -> float:
        """Return the time before a read for which no VM has read the servers; 0 before any.

        The time in which this VM would not have heard of a read does not count.
        """
        if self._servers_confirmed_at == _NEVER:
            return 0.0
        return max(0.0, read_at - max(self._servers_confirmed_at, self._observing_since()))

    def servers_unread_s(self, observing_since: float) -> float:
        """Return the time for which no VM has read the servers; 0 before this VM starts to.

        :param observing_since: time since which this VM has processed messages.
        """
        return self._unread_s(self._servers_confirmed_at, observing_since)

    def operator_unread_s(self, observing_since: float) -> float:
        """Return the same for the operator state."""
        return self._unread_s(self._operator_confirmed_at, observing_since)

    def _unread_s(self, confirmed_at: float, observing_since: float) -> float:
        if self._started_at == _NEVER:
            return 0.0
        return self._now() - max(confirmed_at, self._started_at, observing_since)

    def start(self) -> None:
        """Start the read loops."""
        self._started_at = self._now()
        loops = {"servers": self._read_servers, "operator": self._read_operator}
        self._tasks = [
            spawn(f"reads of {name}", keep_running(f"reads of {name}", loop))
            for name, loop in loops.items()
        ]

    async def close(self) -> None:
        """Stop the read loops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def confirm_operator(self, read_at: float) -> None:
        """Record that another VM holds the same operator state, read at ``read_at``."""
        self._operator_confirmed_at = max(self._operator_confirmed_at, read_at)

    def confirm_servers(self, read_at: float) -> None:
        """Record that another VM knows the same backend servers, read at ``read_at``."""
        self._servers_confirmed_at = max(self._servers_confirmed_at, read_at)

    def request_servers_read(self) -> None:
        """Request a read of the backend servers, whatever the rank of this VM.

        Explanation
        ===========

        The request stays until a read succeeds or ``cancel_servers_read`` is called.
        """
        self._servers_requested.set()

    def cancel_servers_read(self) -> None:
        """Cancel a requested read, since the data has arrived from a peer."""
        self._servers_requested.clear()

    def request_operator_read(self) -> None:
        """Request a read of the operator state, as ``request_servers_read`` does."""
        self._operator_requested.set()

    def cancel_operator_read(self) -> None:
        """Cancel a requested read, since the operator state has arrived from a peer."""
        self._operator_requested.clear()

    async def _read_servers(self) -> None:
        while True:
            wait_s = self._wait_s()
            if wait_s > 0:
                await _wait_for(self._servers_requested, min(wait_s, _check_interval_s(wait_s)))
                continue
            is_scheduled = not self._servers_requested.is_set()
            started = self._now()
            try:
                listing = await self._store.read_servers()
            except StoreError as error:
                self._on_error("servers", error, started)
                continue
            self._on_success()
            now = self._now()
            self._reporter.store_read_ended("servers", now - started, is_successful=True)
            gap_s = self.servers_gap_s(now)
            self._servers_confirmed_at = now
            self._servers_requested.clear()
            if is_scheduled:
                self._act_as_reader(now)
            self._on_listing(listing, gap_s)

    def _act_as_reader(self, now: float) -> None:
        if not self._is_acting_reader(now):
            self._operator_requested.set()
        self._servers_read_at = now

    def _is_acting_reader(self, now: float) -> bool:
        return now - self._servers_read_at < READER_LIFETIME_S

    def _wait_s(self) -> float:
        """Return the time until this VM should read the backend servers."""
        rank = self._reader_rank(self.can_read)
        # Confirmations by others look newer by the time that their messages take, at each VM on the
        # way. VMs that repeat them over a busy link would keep the first reader from reading.
        confirmed_at = self._servers_confirmed_at if rank else self._servers_read_at
        known_at = max(confirmed_at, self._started_at - READ_INTERVAL_S)
        return self._schedule.wait_s(
            self._now(),
            rank,
            known_at,
            self._servers_requested.is_set(),
        )

    async def _read_operator(self) -> None:
        while True:
            now = self._now()
            known_at = max(self._operator_confirmed_at, self._started_at - OPERATOR_MAX_AGE_S)
            age_s = now - known_at
            rank = self._reader_rank(self.can_read)
            is_reader = self.can_read and (rank == 0 or self._is_acting_reader(now))
            wait_s = OPERATOR_MAX_AGE_S + RANK_DELAY_S * rank - age_s
            is_requested = self._operator_requested.is_set()
            if not (is_reader or is_requested) and wait_s > 0:
                await _wait_for(self._operator_requested, _check_interval_s(wait_s))
                continue
            is_stale = is_requested or age_s >= OPERATOR_MAX_AGE_S
            try:
                operator = await self._store.read_operator(
                    self._known_operator(), 0.0 if is_stale else OPERATOR_WAIT_S
                )
            except StoreError as error:
                self._on_error("operator", error, now)
                await asyncio.sleep(CHECK_INTERVAL_S * random.uniform(1.0, 3.0))
                continue
            self._operator_confirmed_at = self._now()
            self._operator_requested.clear()
            self._reporter.store_read_ended(
                "operator", self._operator_confirmed_at - now, is_successful=True
            )
            self._on_operator(operator, "store")

    def _on_error(self, table: str, error: StoreError, started: float) -> None:
        self._reporter.store_read_ended(table, self._now() - started, is_successful=False)
        if self.can_read:
            _LOG.warning("store lost", extra={"table": table, "why": str(error)})
            self._schedule.record_failure(self._now())
            self._on_availability_change()
        elif table == "servers":
            self._schedule.record_failure(self._now())

    def _on_success(self) -> None:
        if self.can_read:
            return
        _LOG.info("store regained", extra={"failures": self._schedule.failures})
        self._schedule.record_success()
        self._on_availability_change()


async def _wait_for(request: asyncio.Event, seconds: float) -> None:
    """Wait for a time, or until a request is made that was not there before."""
    if request.is_set():
        await asyncio.sleep(seconds)
        return
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await request.wait()


def _check_interval_s(wait_s: float) -> float:
    """Return the time until the next check, given the time until the read is due."""
    return max(CHECK_INTERVAL_S, min(MAX_CHECK_INTERVAL_S, wait_s / 2))
