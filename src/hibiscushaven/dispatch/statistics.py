"""Observed latencies and service times per request class."""

from collections import deque

from hibiscushaven.documents import RequestClass, RequestSize

from .items import Item

__all__ = ["ClassStatistics", "StatisticsBook"]

_WINDOW = 512
# Sorting the window at each observation would cost more than the decisions it serves.
_REFRESH_EVERY = 32
_ENOUGH = 20
_MEAN_WEIGHT = 0.02
# Assumed before the first observation; a tenth of the deadline keeps a new class from refusing.
_PRIOR_SHARE = 0.1
_PRIOR_LIMIT_S = {RequestSize.SHORT: 0.05, RequestSize.LONG: 2.0}


class _Window:
    """Quantiles of the last observations, refreshed now and then."""

    __slots__ = ("_fresh", "_sorted", "_values")

    def __init__(self) -> None:
        self._values: deque[float] = deque(maxlen=_WINDOW)
        self._sorted: list[float] = []
        self._fresh = 0

    @property
    def has_enough(self) -> bool:
        return len(self._values) >= _ENOUGH

    def add(self, value: float) -> None:
        self._values.append(value)
        self._fresh += 1

    def quantile(self, share: float) -> float | None:
        if not self._values:
            return None
        if not self._sorted or self._fresh >= min(_REFRESH_EVERY, len(self._sorted)):
            self._sorted = sorted(self._values)
            self._fresh = 0
        return self._sorted[min(len(self._sorted) - 1, int(share * len(self._sorted)))]


class ClassStatistics:
    """Times of one class, in seconds.

    :ivar mean_s: mean time for which an attempt holds a slot.
    """

    def __init__(self, request_class: RequestClass) -> None:
        limit = _PRIOR_LIMIT_S[request_class.size]
        self._prior_s = min(limit, _PRIOR_SHARE * request_class.deadline_ms / 1000)
        self._heads = _Window()
        self._durations = _Window()
        self._count = 0
        self.mean_s = self._prior_s

    @property
    def typical_s(self) -> float:
        """Median time to the first byte."""
        return self._heads.quantile(0.5) or self._prior_s

    @property
    def late_s(self) -> float | None:
        """95th percentile of the time to the first byte; ``None`` before it is known."""
        return self._heads.quantile(0.95) if self._heads.has_enough else None

    @property
    def long_duration_s(self) -> float | None:
        """95th percentile of the whole duration; ``None`` before it is known."""
        return self._durations.quantile(0.95) if self._durations.has_enough else None

    @property
    def median_duration_s(self) -> float:
        return self._durations.quantile(0.5) or self._prior_s

    def observe_head(self, seconds: float) -> None:
        self._heads.add(seconds)

    def observe_duration(self, seconds: float) -> None:
        self._durations.add(seconds)
        self._count += 1
        weight = max(_MEAN_WEIGHT, 1 / self._count)
        self.mean_s += weight * (seconds - self.mean_s)


class StatisticsBook:
    """Statistics by class name and size counted.

    Work of a short class that is counted as long has statistics of its own, because it
    would raise the predicted wait of its class many times over.
    """

    def __init__(self) -> None:
        self._classes: dict[tuple[str, RequestSize], ClassStatistics] = {}

    def of(self, request_class: RequestClass, size: RequestSize) -> ClassStatistics:
        key = (request_class.name, size)
        if key not in self._classes:
            self._classes[key] = ClassStatistics(request_class)
        return self._classes[key]

    def of_item(self, item: Item) -> ClassStatistics:
        return self.of(item.work.request_class, item.size)

    def keep_only(self, names: set[str]) -> None:
        """Forget the classes that a document no longer has."""
        self._classes = {key: item for key, item in self._classes.items() if key[0] in names}
