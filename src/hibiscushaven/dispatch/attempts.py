"""Attempts in progress and their slot tokens."""

import random
from collections import Counter
from collections.abc import Iterable, Iterator
from heapq import heappop, heappush

from .actions import StartAttempt
from .items import Attempt, ItemState
from .ports import SlotSource, Token
from .servers import ServerState

__all__ = ["AttemptTracker"]


class AttemptTracker:
    """Tracks attempts from start to end; releases each acquired token exactly once."""

    def __init__(self, slots: SlotSource, rng: random.Random) -> None:
        self._slots = slots
        # Backend servers echo attempt ids, so they must be unique across all VMs.
        self._prefix = f"{rng.getrandbits(64):016x}"
        self._count = 0
        self._attempts: dict[str, Attempt] = {}
        self._pending_releases: list[tuple[float, int, Attempt]] = []
        self._copies_in_progress: Counter[str] = Counter()

    def __iter__(self) -> Iterator[Attempt]:
        return iter(self._attempts.values())

    def __len__(self) -> int:
        return len(self._attempts)

    @property
    def next_release_at(self) -> float:
        return self._pending_releases[0][0] if self._pending_releases else float("inf")

    def get(self, attempt_id: str) -> Attempt | None:
        return self._attempts.get(attempt_id)

    def copies_in_progress(self, fingerprint: str) -> int:
        """Return the number of attempts with a fingerprint that may be running."""
        return self._copies_in_progress[fingerprint]

    def acquire_token(self, now: float, item: ItemState, state: ServerState) -> Token | None:
        """Acquire a token that is usable now; return ``None`` if there is none."""
        work = item.work
        token = self._slots.acquire(now, work.service, state.name, work.deadline)
        if token is None or self._slots.is_usable(now, token):
            return token
        self._slots.release(now, token)
        return None

    def has_usable_token(self, now: float, attempt: Attempt) -> bool:
        return self._slots.is_usable(now, attempt.token)

    def start(
        self,
        now: float,
        item: ItemState,
        state: ServerState,
        token: Token,
        is_hedge: bool,
        is_suspect: bool,
    ) -> tuple[Attempt, StartAttempt]:
        """Record a new attempt under an acquired token, and return it with its action."""
        self._count += 1
        attempt_id = f"{self._prefix}-{self._count}"
        attempt = Attempt(
            attempt_id, item, state, token, now, is_hedge, is_suspect=False, is_long=item.is_long
        )
        use_new_connection = is_suspect or (item.is_retry and not is_hedge)
        action = StartAttempt(
            attempt_id, item.work.id, state.name, token, is_hedge, use_new_connection, is_suspect
        )
        self._attempts[attempt_id] = attempt
        self._copies_in_progress[item.work.fingerprint] += 1
        state.in_progress += 1
        state.long_in_progress += attempt.is_long
        if is_suspect:
            self._mark_suspect(attempt)
        item.attempts[attempt_id] = attempt
        item.tried_servers.add(state.name)
        item.attempts_made += not is_hedge
        return attempt, action

    def end(self, now: float, attempt: Attempt, is_stopped: bool) -> None:
        """Record the end of an attempt.

        If the backend server may still run the request, the token is kept until the deadline.
        """
        del self._attempts[attempt.id]
        attempt.item.attempts.pop(attempt.id, None)
        deadline = attempt.item.work.deadline
        if is_stopped or deadline <= now:
            self._release(now, attempt)
        else:
            self._count += 1
            heappush(self._pending_releases, (deadline, self._count, attempt))

    def release_expired(self, now: float) -> None:
        """Release the tokens kept for attempts whose deadlines have passed."""
        while self._pending_releases and self._pending_releases[0][0] <= now:
            self._release(now, heappop(self._pending_releases)[2])

    def count_as_long(self, attempt: Attempt) -> None:
        if not attempt.is_long:
            attempt.is_long = True
            attempt.server.long_in_progress += 1

    def mark_suspects(self, fingerprints: Iterable[str]) -> None:
        """Mark the attempts in progress with these fingerprints as suspects."""
        suspected = set(fingerprints)
        for attempt in self._attempts.values():
            if attempt.item.work.fingerprint in suspected:
                self._mark_suspect(attempt)

    def _mark_suspect(self, attempt: Attempt) -> None:
        if not attempt.is_suspect:
            attempt.is_suspect = True
            attempt.server.suspects_in_progress += 1

    def _release(self, now: float, attempt: Attempt) -> None:
        state = attempt.server
        state.in_progress -= 1
        state.long_in_progress -= attempt.is_long
        state.suspects_in_progress -= attempt.is_suspect
        fingerprint = attempt.item.work.fingerprint
        self._copies_in_progress[fingerprint] -= 1
        if not self._copies_in_progress[fingerprint]:
            del self._copies_in_progress[fingerprint]
        self._slots.release(now, attempt.token)
