"""What backend servers say about themselves with their responses."""

from collections.abc import Mapping
from dataclasses import dataclass

from .loads import LoadReport

__all__ = ["ServerNotice", "ServerNotices"]

# Longest pause that a server can ask for.
MAX_PAUSE_S = 600.0

# Leaving processes that are remembered, more than are known at once.
MAX_LEAVING = 4096

# Fraction by which a VM prolongs a pause at random, so that the VMs do not all return at once, and
# the most that it adds.
PAUSE_SPREAD = 0.1
MAX_PAUSE_SPREAD_S = 0.5


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What one response says about its server.

    :ivar load: load of the server, if it reports any.
    :ivar rate_limit_per_s: requests per second that it takes, ``None`` for any number.
    :ivar is_leaving: whether it must get no new requests.
    :ivar pause_s: time for which it wants no requests of this VM.
    """

    load: LoadReport | None = None
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None


class ServerNotices:
    """Backend servers that have told this VM to send them nothing, for good or for a time.

    Explanation
    ===========

    Servers are named by their process ids: a server that starts again under its id is another one.
    A process that leaves does so for good, whatever an older record in the store says. A pause
    concerns this VM alone, and the later end of two holds.

    After its pause a server is reluctant until it has served a request: it may reject the next one
    as well, which costs an attempt and a retry.

    Examples
    ========

    >>> notices = ServerNotices()
    >>> notices.record(10.0, "s1/1", ServerNotice(pause_s=2.0))
    True
    >>> notices.record(10.0, "s2/1", ServerNotice(is_leaving=True))
    True
    >>> notices.is_excluded(11.0, "s1/1"), notices.is_excluded(12.0, "s1/1")
    (True, False)
    >>> notices.is_excluded(9999.0, "s2/1"), notices.is_excluded(9999.0, "s2/2")
    (True, False)

    """

    def __init__(self) -> None:
        # Times of the first notice by process id, oldest first.
        self._leaving: dict[str, float] = {}
        self._paused_until: dict[str, float] = {}

    @property
    def leaving_since(self) -> Mapping[str, float]:
        """Processes that leave, each with the time at which this became known."""
        return self._leaving

    def record(
        self, now: float, process_id: str, notice: ServerNotice, spread: float = 0.0
    ) -> bool:
        """Record a notice; return whether the server is excluded by it and was not before.

        :param spread: random number from 0 to 1, which prolongs a pause.
        """
        was_excluded = self.is_excluded(now, process_id)
        if notice.is_leaving:
            self.record_leaving(process_id, now)
        if notice.pause_s is not None:
            pause_s = min(notice.pause_s, MAX_PAUSE_S)
            pause_s += spread * min(MAX_PAUSE_SPREAD_S, PAUSE_SPREAD * pause_s)
            until = max(now + pause_s, self._paused_until.get(process_id, 0.0))
            self._paused_until[process_id] = until
        return not was_excluded and self.is_excluded(now, process_id)

    def record_leaving(self, process_id: str, since: float) -> bool:
        """Record that a process leaves; return whether this was not known.

        :param since: time at which it said so.
        """
        if process_id in self._leaving:
            return False
        self._leaving[process_id] = since
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        return True

    def record_served(self, now: float, process_id: str) -> None:
        """Record that a server has served a request of this VM; its pause holds until its end."""
        if self.pause_left_s(now, process_id) <= 0:
            self._paused_until.pop(process_id, None)

    def is_reluctant(self, process_id: str) -> bool:
        """Return whether a server has served nothing since its last pause."""
        return process_id in self._paused_until

    def is_excluded(self, now: float, process_id: str) -> bool:
        """Return whether a server must get no requests of this VM now."""
        return process_id in self._leaving or self.pause_left_s(now, process_id) > 0

    def pause_left_s(self, now: float, process_id: str) -> float:
        """Return the time until the pause of a server ends; infinite if it is leaving."""
        if process_id in self._leaving:
            return float("inf")
        return max(0.0, self._paused_until.get(process_id, 0.0) - now)

    def retain_only(self, process_ids: frozenset[str]) -> None:
        """Discard the pauses of all servers that are not in the set.

        That a process leaves is kept, since an older record of it may come back.
        """
        self._paused_until = {
            key: until for key, until in self._paused_until.items() if key in process_ids
        }
