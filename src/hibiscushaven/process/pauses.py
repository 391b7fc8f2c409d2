"""Detection of pauses of the own process."""

import logging
from collections.abc import Callable
from math import inf

__all__ = ["MIN_PAUSE_S", "PauseDetector"]

_LOG = logging.getLogger(__name__)

# Delay of a periodic step above which the process counts as paused. A busy event loop is late by
# a fraction of this.
MIN_PAUSE_S = 0.5


class PauseDetector:
    """Finds out that this process has not run for a while.

    Explanation
    ===========

    A process that is stopped, or whose VM is suspended, hears nothing in that time and finds all
    its time limits exceeded. That says nothing about what it waited for.

    Whichever task runs first after a pause finds it, if it asks for ``resumed_at``.

    Examples
    ========

    >>> time = [10.0]
    >>> pauses = PauseDetector(lambda: time[0], interval_s=0.2)
    >>> pauses.step()
    >>> time[0] = 14.2
    >>> pauses.resumed_at
    14.2

    :param now: returns the time in seconds on a clock that advances during a pause.
    :param interval_s: interval at which ``step`` is called.
    :param on_resume: called after a pause with its length in seconds.
    """

    def __init__(
        self,
        now: Callable[[], float],
        interval_s: float,
        on_resume: Callable[[float], None] = lambda pause_s: None,
    ) -> None:
        self._now = now
        self._interval_s = interval_s
        self._on_resume = on_resume
        self._ran_at = inf
        self._resumed_at = -inf

    @property
    def resumed_at(self) -> float:
        """End of the latest pause; minus infinity if there was none."""
        self.check()
        return self._resumed_at

    def step(self) -> None:
        """Record that the process runs; called periodically."""
        self.check()
        self._ran_at = self._now()

    def check(self) -> None:
        """Find out whether a pause has ended since the latest step."""
        now = self._now()
        pause_s = now - self._ran_at - self._interval_s
        if pause_s <= MIN_PAUSE_S:
            return
        self._ran_at = self._resumed_at = now
        _LOG.warning("this process was paused", extra={"pause_s": round(pause_s, 3)})
        self._on_resume(pause_s)
