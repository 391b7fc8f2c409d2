"""Pulls of newer data from the other VMs of the region."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from hibiscushaven.fleet import MessageError, SyncResponse
from hibiscushaven.process import Clock, spawn

from .sync_reporter import SyncReporter

__all__ = ["PeerPuller"]

_LOG = logging.getLogger(__name__)

# Longest usual duration of a pull. VMs of a region are about a millisecond apart, but a pull
# crosses a link four times and waits each time for the responses that are sent there.
USUAL_PULL_S = 0.4

# Time limit of a pull, for a link at which packets wait for half a second.
PULL_TIMEOUT_S = 2.0

# Sends a pull to an address, with a time limit in seconds.
Pull = Callable[[str, float], Awaitable[SyncResponse]]


class PeerPuller:
    """Pulls newer data from peers, and reports a pull that takes longer than usual.

    Explanation
    ===========

    A busy link delays every pull. A pull that is abandoned and repeated starts over behind the
    same queue and never completes, so that a slow pull continues, while other sources are tried
    beside it: another peer, and whatever ``on_delay`` starts.

    :param pull: sends a pull.
    :param on_response: called with a response and the name of its sender.
    :param on_delay: called with the name of a peer that failed, or did not respond within
        ``USUAL_PULL_S``.
    """

    def __init__(
        self,
        pull: Pull,
        clock: Clock,
        reporter: SyncReporter,
        on_response: Callable[[SyncResponse, str], None],
        on_delay: Callable[[str], None],
    ) -> None:
        self._pull = pull
        self._now = clock.now
        self._reporter = reporter
        self._on_response = on_response
        self._on_delay = on_delay
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._started_at = float("-inf")

    @property
    def is_pulling(self) -> bool:
        """Whether a pull is in progress."""
        return bool(self._tasks)

    def start(self, peer: str, address: str) -> None:
        """Start a pull unless one from the same peer is in progress or another one may be in time.

        :param address: address of the peer for messages.
        """
        is_recent = self._now() - self._started_at < USUAL_PULL_S
        if peer in self._tasks or (self._tasks and is_recent):
            return
        self._started_at = self._now()
        task = spawn("pull", self.pull_from(peer, address))
        self._tasks[peer] = task
        task.add_done_callback(lambda _: self._tasks.pop(peer, None))

    async def pull_from(self, peer: str, address: str) -> None:
        """Pull newer data from a peer and pass on the response."""
        started = self._now()
        on_delay = asyncio.get_running_loop().call_later(USUAL_PULL_S, self._on_delay, peer)
        try:
            response = await self._pull(address, PULL_TIMEOUT_S)
        except (OSError, MessageError, TimeoutError) as error:
            self._on_failure(peer, error, self._now() - started)
            return
        finally:
            on_delay.cancel()
        self._reporter.pull_ended(self._now() - started, is_successful=True)
        self._on_response(response, peer)

    async def close(self) -> None:
        """Cancel the pulls in progress."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_failure(self, peer: str, error: Exception, elapsed_s: float) -> None:
        self._reporter.pull_ended(elapsed_s, is_successful=False)
        _LOG.warning(
            "cannot fetch changes from VM",
            extra={"peer": peer, "why": repr(error), "elapsed_s": round(elapsed_s, 3)},
        )
        self._on_delay(peer)
