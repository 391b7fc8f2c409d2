"""Maximum with exponential decay."""

import math

__all__ = ["DecayingMaximum"]


class DecayingMaximum:
    """Largest recent value; older values decay exponentially.

    Examples
    ========

    >>> maximum = DecayingMaximum(10.0)
    >>> maximum.update(0.0, 8.0), maximum.update(0.0, 2.0)
    (8.0, 8.0)
    >>> round(maximum.update(10.0, 2.0), 2)
    2.94

    :param time_constant_s: time in which a value decays to 1/e of it (about a third), in seconds.
    """

    def __init__(self, time_constant_s: float) -> None:
        self._time_constant_s = time_constant_s
        self._value = 0.0
        self._now: float | None = None

    @property
    def value(self) -> float:
        return self._value

    def update(self, now: float, value: float) -> float:
        """Add a value and return the maximum."""
        if self._now is not None and now > self._now:
            self._value *= math.exp((self._now - now) / self._time_constant_s)
        self._now = now if self._now is None else max(now, self._now)
        self._value = max(self._value, value)
        return self._value
