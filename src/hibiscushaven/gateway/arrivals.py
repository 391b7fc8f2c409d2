"""Arrival rates of the requests that reach one VM."""

from collections.abc import Callable

from hibiscushaven.fleet import token_of

__all__ = ["ArrivalRates"]

# Weight of a new sample in the moving mean; samples are taken five times per second.
SMOOTHING_FACTOR = 0.15

# Shortest time that a rate is computed over.
MIN_ELAPSED_S = 0.1

# Lower rates are dropped.
MIN_RATE_PER_S = 0.01

# Interval between states that carry the rates. Rates change slowly and would make every state
# larger.
SEND_INTERVAL_S = 0.2


class ArrivalRates:
    """Exponential moving means of event rates by name, in events per second.

    Examples
    ========

    >>> counts = iter([{"stock": 10}, {}])
    >>> rates = ArrivalRates(lambda: next(counts))
    >>> rates.update(1.0)
    >>> [round(rate, 2) for rate in rates.by_token().values()]
    [1.5]

    :param drain_counts: returns the counts since its last call.
    """

    def __init__(self, drain_counts: Callable[[], dict[str, int]]) -> None:
        self._drain_counts = drain_counts
        self._rates: dict[str, float] = {}
        self._updated_at = 0.0
        self._sent_at = float("-inf")

    def update(self, now: float) -> None:
        """Update the rates from the counts since the last call."""
        elapsed_s = max(now - self._updated_at, MIN_ELAPSED_S)
        self._updated_at = now
        counts = self._drain_counts()
        for name in {*counts, *self._rates}:
            previous = self._rates.get(name, 0.0)
            rate = previous + SMOOTHING_FACTOR * (counts.get(name, 0) / elapsed_s - previous)
            if rate < MIN_RATE_PER_S:
                self._rates.pop(name, None)
            else:
                self._rates[name] = rate

    def by_token(self) -> dict[int, float]:
        """Return the rates by token of their names."""
        return {token_of(name): rate for name, rate in self._rates.items()}

    def try_mark_sent(self, now: float) -> bool:
        """Return whether the next state should carry the rates, and if so record it as sent."""
        if now - self._sent_at < SEND_INTERVAL_S:
            return False
        self._sent_at = now
        return True
