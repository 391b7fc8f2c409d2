"""Times at which backend servers provably ran, by the responses that any VM received."""

from collections import deque

__all__ = ["MIN_RESTART_S", "UptimeProofs"]

# Shortest time from the end of a backend server until it responds again. Responses that are
# closer together come from one process, which ran all the time between them.
MIN_RESTART_S = 1.0

# Time by which a response of which another VM reports may seem later than it was. Reports carry
# ages, to which the delay of the network adds.
REPORT_DELAY_S = 0.25

# Responses that are later by less than this are taken for repetitions of the same report, of which
# the digests of a large region bring hundreds.
REPETITION_S = 0.05

# Shortest time between two responses that are remembered as single ones, and their number for each
# server, which together cover the time until the record of a restarted server is known.
SAMPLE_INTERVAL_S = 0.2
MAX_SAMPLES = 64

# Time without a response after which the proof is discarded.
PROOF_LIFETIME_S = 60.0


class _Responses:
    """Known responses of one server.

    :ivar first: first response of the latest interval without a restart.
    :ivar last: last response.
    :ivar samples: times of single responses, oldest first.
    """

    __slots__ = ("first", "last", "samples")

    def __init__(self, responded_at: float) -> None:
        self.first = self.last = responded_at
        self.samples = deque((responded_at,), maxlen=MAX_SAMPLES)

    def add(self, responded_at: float) -> None:
        """Add a response; reports may arrive in any order."""
        gap_s = responded_at - self.last
        if gap_s < REPETITION_S:
            if self.first - MIN_RESTART_S < responded_at < self.first:
                self.first = responded_at
            return
        if gap_s >= MIN_RESTART_S:
            self.first = responded_at
        self.last = responded_at
        if responded_at - self.samples[-1] >= SAMPLE_INTERVAL_S:
            self.samples.append(responded_at)


class UptimeProofs:
    """Intervals in which backend servers ran without a restart.

    Explanation
    ===========

    A VM that fails to reach a server cannot tell whether the server or its own link is down. The
    responses of the server to other VMs can: two of them that are closer together than a restart
    takes prove that the server ran in between.

    Servers are named by their tokens in messages between VMs.

    Examples
    ========

    >>> proofs = UptimeProofs()
    >>> for at in (10.0, 10.6, 11.2):
    ...     proofs.record(7, at)
    >>> proofs.ran_at(7, 10.5), proofs.ran_at(7, 11.1), proofs.ran_at(7, 9.9)
    (True, False, False)

    """

    def __init__(self) -> None:
        self._responses: dict[int, _Responses] = {}

    def record(self, token: int, responded_at: float) -> None:
        """Record a response of a server; reports may arrive in any order."""
        responses = self._responses.get(token)
        if responses is None:
            self._responses[token] = _Responses(responded_at)
        else:
            responses.add(responded_at)

    def ran_at(self, token: int, at: float) -> bool:
        """Return whether a server provably ran at a time, and without a restart since."""
        responses = self._responses.get(token)
        return responses is not None and responses.first <= at <= responses.last - REPORT_DELAY_S

    def has_responded_between(self, token: int, start: float, end: float) -> bool:
        """Return whether a server provably responded in an interval that starts at ``start``."""
        responses = self._responses.get(token)
        return responses is not None and any(
            start + REPORT_DELAY_S <= at <= end for at in responses.samples
        )

    def last_response_at(self, token: int) -> float:
        """Return the time of the last known response of a server."""
        responses = self._responses.get(token)
        return responses.last if responses is not None else float("-inf")

    def has_responded_since(self, token: int, at: float) -> bool:
        """Return whether a server provably responded after a time."""
        return self.last_response_at(token) >= at + REPORT_DELAY_S

    def has_any_responded_since(self, at: float) -> bool:
        """Return whether any server provably responded after a time."""
        return any(item.last >= at + REPORT_DELAY_S for item in self._responses.values())

    def expire(self, now: float) -> None:
        """Discard the proofs of servers that have not responded for long."""
        for token, responses in list(self._responses.items()):
            if now - responses.last > PROOF_LIFETIME_S:
                del self._responses[token]
