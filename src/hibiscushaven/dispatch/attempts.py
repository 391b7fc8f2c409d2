"""Attempts in progress and the slot tokens that they hold."""

import random
from collections import Counter
from collections.abc import Iterable, Iterator
from heapq import heappop, heappush

from .actions import StartAttempt
from .items import Attempt, Item
from .ports import SlotSource, Token
from .servers import ServerState

__all__ = ["AttemptBook"]


class AttemptBook:
    """Starts and ends attempts; every token taken is given back exactly once."""

    def __init__(self, slots: SlotSource, rng: random.Random) -> None:
        self._slots = slots
        # Attempt ids are unique over all VMs, because backend servers echo them.
        self._prefix = f"{rng.getrandbits(64):016x}"
        self._count = 0
        self._attempts: dict[str, Attempt] = {}
        self._held: list[tuple[float, int, Attempt]] = []
        self._copies: Counter[str] = Counter()

    def __iter__(self) -> Iterator[Attempt]:
        return iter(self._attempts.values())

    def __len__(self) -> int:
        return len(self._attempts)

    @property
    def next_release_at(self) -> float:
        return self._held[0][0] if self._held else float("inf")

    def get(self, attempt_id: str) -> Attempt | None:
        return self._attempts.get(attempt_id)

    def copies(self, fingerprint: str) -> int:
        """Return how many attempts with a fingerprint may be running."""
        return self._copies[fingerprint]

    def take_token(self, now: float, item: Item, state: ServerState) -> Token | None:
        """Return a token that is usable now, or ``None``."""
        work = item.work
        token = self._slots.acquire(now, work.service, state.name, work.deadline)
        if token is None or self._slots.is_usable(now, token):
            return token
        self._slots.release(now, token)
        return None

    def is_usable(self, now: float, attempt: Attempt) -> bool:
        return self._slots.is_usable(now, attempt.token)

    def start(
        self,
        now: float,
        item: Item,
        state: ServerState,
        token: Token,
        is_hedge: bool,
        is_suspect: bool,
    ) -> tuple[Attempt, StartAttempt]:
        """Note the start of an attempt under a token just taken."""
        self._count += 1
        attempt_id = f"{self._prefix}-{self._count}"
        attempt = Attempt(
            attempt_id, item, state, token, now, is_hedge, is_suspect=False, is_long=item.is_long
        )
        action = StartAttempt(
            attempt_id, item.work.id, state.name, token, is_hedge, item.is_retry and not is_hedge
        )
        self._attempts[attempt_id] = attempt
        self._copies[item.work.fingerprint] += 1
        state.in_progress += 1
        state.long_in_progress += attempt.is_long
        if is_suspect:
            self._suspect(attempt)
        item.attempts[attempt_id] = attempt
        item.tried.add(state.name)
        item.attempts_made += not is_hedge
        return attempt, action

    def end(self, now: float, attempt: Attempt, is_stopped: bool) -> None:
        """Note the end of an attempt; its token is held while the server may still run it."""
        del self._attempts[attempt.id]
        attempt.item.attempts.pop(attempt.id, None)
        deadline = attempt.item.work.deadline
        if is_stopped or deadline <= now:
            self._release(now, attempt)
        else:
            self._count += 1
            heappush(self._held, (deadline, self._count, attempt))

    def release_held(self, now: float) -> None:
        """Give back the tokens of attempts that backend servers have given up by now."""
        while self._held and self._held[0][0] <= now:
            self._release(now, heappop(self._held)[2])

    def count_as_long(self, attempt: Attempt) -> None:
        if not attempt.is_long:
            attempt.is_long = True
            attempt.server.long_in_progress += 1

    def suspect(self, fingerprints: Iterable[str]) -> None:
        """Treat the attempts in progress with these fingerprints as suspects."""
        named = set(fingerprints)
        for attempt in self._attempts.values():
            if attempt.item.work.fingerprint in named:
                self._suspect(attempt)

    def _suspect(self, attempt: Attempt) -> None:
        if not attempt.is_suspect:
            attempt.is_suspect = True
            attempt.server.suspects_in_progress += 1

    def _release(self, now: float, attempt: Attempt) -> None:
        state = attempt.server
        state.in_progress -= 1
        state.long_in_progress -= attempt.is_long
        state.suspects_in_progress -= attempt.is_suspect
        fingerprint = attempt.item.work.fingerprint
        self._copies[fingerprint] -= 1
        if not self._copies[fingerprint]:
            del self._copies[fingerprint]
        self._slots.release(now, attempt.token)
