"""Reading of the platform's store by one VM, in turns with the others of its region."""

import asyncio
import logging
import random
from collections.abc import Callable

from hibiscushaven.feeds import RANK_STEP_S, READ_INTERVAL_S, ReadingTurn
from hibiscushaven.process import Clock
from hibiscushaven.routing import OperatorState

from .ports import PlatformStore, ServerListing, StoreError

__all__ = ["StoreReader"]

_LOG = logging.getLogger(__name__)

# Longest wait for the operator's state to change in one read, and the age after which another
# VM reads it in place of the reader.
OPERATOR_WAIT_S = 1.5
OPERATOR_MAX_AGE_S = 2.0

# Time between two looks at whose turn it is, and the longest one of a VM whose turn is far off;
# it may come suddenly when many VMs are lost.
CHECK_INTERVAL_S = 0.2
LONGEST_CHECK_S = 0.5

# A VM that lacks news that no peer could deliver takes the operator's state to be this old.
STALE_S = 3.0

_NEVER = -1e6


class StoreReader:
    """Reads the store when it is this VM's turn, or when no other VM does.

    Explanation
    ===========

    A VM that has just started and knows nothing waits for its turn as well: if others are up,
    one of them reads or knows already, and the news arrive sooner than a read of its own.

    :param rank: returns how many VMs of the region come before this one, given whether this
        one can read.
    :param on_listing: takes the backend servers and the time since the read before.
    :param on_operator: takes the operator's state and where it comes from.
    :param on_turn: called when the store stops answering or answers again, so that the VMs rank
        their readers anew.
    """

    def __init__(
        self,
        store: PlatformStore,
        clock: Clock,
        rank: Callable[[bool], int],
        on_listing: Callable[[ServerListing, float], None],
        on_operator: Callable[[OperatorState, str], None],
        on_turn: Callable[[], None],
    ) -> None:
        self._store = store
        self._now = clock.now
        self._rank = rank
        self._on_listing = on_listing
        self._on_operator = on_operator
        self._on_turn = on_turn
        self._turn = ReadingTurn()
        self._operator_confirmed_at = _NEVER
        self._servers_confirmed_at = _NEVER
        self._started_at = _NEVER
        self._must_read = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def can_read(self) -> bool:
        """Whether the last call of the store succeeded."""
        return not self._turn.is_failing

    @property
    def operator_confirmed_at(self) -> float:
        """Time as of which the operator's state was last read by some VM."""
        return self._operator_confirmed_at

    @property
    def servers_confirmed_at(self) -> float:
        """Time as of which the backend servers were last read by some VM."""
        return self._servers_confirmed_at

    def start(self) -> None:
        """Start to read."""
        self._started_at = self._now()
        loops = (self._read_servers(), self._read_operator())
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def close(self) -> None:
        """Stop reading."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def confirm_operator(self, at: float) -> None:
        """Note that another VM holds the same operator's state, read at a time."""
        self._operator_confirmed_at = max(self._operator_confirmed_at, at)

    def confirm_servers(self, at: float) -> None:
        """Note that another VM knows the same backend servers, read at a time."""
        self._servers_confirmed_at = max(self._servers_confirmed_at, at)

    def read_now(self) -> None:
        """Read soon, since a peer has news that it could not deliver."""
        self._must_read.set()
        self._operator_confirmed_at = min(self._operator_confirmed_at, self._now() - STALE_S)

    async def _read_servers(self) -> None:
        while True:
            wait_s = self._wait_s()
            if wait_s > 0 and not await self._is_called(min(wait_s, _check_s(wait_s))):
                continue
            try:
                listing = await self._store.read_servers()
            except StoreError as error:
                self._on_error("servers", error)
                continue
            self._on_success()
            now = self._now()
            gap_s = now - self._servers_confirmed_at
            self._servers_confirmed_at = now
            self._on_listing(listing, gap_s)

    def _wait_s(self) -> float:
        """Return the time until this VM should read the backend servers."""
        known_at = max(self._servers_confirmed_at, self._started_at - READ_INTERVAL_S)
        return self._turn.wait_s(self._now(), self._rank(self.can_read), known_at)

    async def _read_operator(self) -> None:
        while True:
            known_at = max(self._operator_confirmed_at, self._started_at - OPERATOR_MAX_AGE_S)
            age_s = self._now() - known_at
            rank = self._rank(self.can_read)
            is_reader = rank == 0 and self.can_read
            wait_s = OPERATOR_MAX_AGE_S + RANK_STEP_S * rank - age_s
            if not is_reader and wait_s > 0:
                await asyncio.sleep(_check_s(wait_s))
                continue
            is_stale = age_s >= OPERATOR_MAX_AGE_S
            try:
                operator = await self._store.read_operator(0.0 if is_stale else OPERATOR_WAIT_S)
            except StoreError as error:
                self._on_error("operator", error)
                await asyncio.sleep(CHECK_INTERVAL_S * random.uniform(1.0, 3.0))
                continue
            self._operator_confirmed_at = self._now()
            self._on_operator(operator, "store")

    async def _is_called(self, seconds: float) -> bool:
        """Wait; return early and true if a peer could not deliver its news."""
        try:
            async with asyncio.timeout(seconds):
                await self._must_read.wait()
        except TimeoutError:
            return False
        self._must_read.clear()
        return True

    def _on_error(self, what: str, error: StoreError) -> None:
        if self.can_read:
            _LOG.warning("store lost", extra={"table": what, "why": str(error)})
            self._turn.failed(self._now())
            self._on_turn()
        elif what == "servers":
            self._turn.failed(self._now())

    def _on_success(self) -> None:
        if self.can_read:
            return
        _LOG.info("store regained", extra={"failures": self._turn.failures})
        self._turn.succeeded()
        self._on_turn()


def _check_s(wait_s: float) -> float:
    """Return the time until the next look at a turn that seems to be so far off."""
    return max(CHECK_INTERVAL_S, min(LONGEST_CHECK_S, wait_s / 2))
