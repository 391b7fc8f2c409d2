"""Rates of the requests that reach one VM."""

from collections.abc import Callable

from hibiscushaven.fleet import token_of

__all__ = ["ArrivalRates"]

# Weight of a new measurement, which is taken five times a second.
SMOOTHING = 0.15

# Shortest time that a rate is worked out over.
LEAST_MEASURE_S = 0.1

# Rates below this one are not told.
LEAST_PER_S = 0.01

# Time between two states that name the rates; they move slowly and take room.
TELL_INTERVAL_S = 0.2


class ArrivalRates:
    """Moving means of what is counted by name, in a second.

    Examples
    ========

    >>> counts = iter([{"stock": 10}, {}])
    >>> rates = ArrivalRates(lambda: next(counts))
    >>> rates.measure(1.0)
    >>> [round(rate, 2) for rate in rates.by_token().values()]
    [1.5]

    :param take: returns the counts since the last call.
    """

    def __init__(self, take: Callable[[], dict[str, int]]) -> None:
        self._take = take
        self._rates: dict[str, float] = {}
        self._measured_at = 0.0
        self._told_at = float("-inf")

    def measure(self, now: float) -> None:
        """Take what was counted since the last call."""
        elapsed_s = max(now - self._measured_at, LEAST_MEASURE_S)
        self._measured_at = now
        counts = self._take()
        for name in {*counts, *self._rates}:
            known = self._rates.get(name, 0.0)
            rate = known + SMOOTHING * (counts.get(name, 0) / elapsed_s - known)
            if rate < LEAST_PER_S:
                self._rates.pop(name, None)
            else:
                self._rates[name] = rate

    def by_token(self) -> dict[int, float]:
        """Return the rates by token of their names."""
        return {token_of(name): rate for name, rate in self._rates.items()}

    def try_tell(self, now: float) -> bool:
        """Return whether the next state should name the rates, and count it as doing so."""
        if now - self._told_at < TELL_INTERVAL_S:
            return False
        self._told_at = now
        return True
