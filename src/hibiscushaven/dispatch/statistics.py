"""Statistics of latencies and service times per request class."""

from collections import deque

from hibiscushaven.documents import RequestClass, RequestSize

from .items import ItemState

__all__ = ["ClassStatistics", "StatisticsRegistry"]

_WINDOW_OBSERVATIONS = 512
# Sorting the window at every observation would cost more than the decisions that use it.
_REFRESH_OBSERVATIONS = 32
_MIN_OBSERVATIONS = 20
_MEAN_WEIGHT = 0.02
# Assumed duration before the first observation; with a tenth of the deadline, a new class does
# not refuse requests.
_PRIOR_DEADLINE_SHARE = 0.1
_MAX_PRIOR_S = {RequestSize.SHORT: 0.05, RequestSize.LONG: 2.0}


class _Window:
    """Quantiles of the last observations; recomputed after a number of new ones."""

    __slots__ = ("_sorted", "_unsorted_count", "_values")

    def __init__(self) -> None:
        self._values: deque[float] = deque(maxlen=_WINDOW_OBSERVATIONS)
        self._sorted: list[float] = []
        self._unsorted_count = 0

    @property
    def has_enough_observations(self) -> bool:
        return len(self._values) >= _MIN_OBSERVATIONS

    def add(self, value: float) -> None:
        self._values.append(value)
        self._unsorted_count += 1

    def quantile(self, share: float) -> float | None:
        if not self._values:
            return None
        if not self._sorted or self._unsorted_count >= min(
            _REFRESH_OBSERVATIONS, len(self._sorted)
        ):
            self._sorted = sorted(self._values)
            self._unsorted_count = 0
        return self._sorted[min(len(self._sorted) - 1, int(share * len(self._sorted)))]


class ClassStatistics:
    """Latencies and durations of the attempts of one class.

    :ivar mean_slot_time_s: moving average of the time for which an attempt occupies a slot.
    """

    def __init__(self, request_class: RequestClass) -> None:
        limit = _MAX_PRIOR_S[request_class.size]
        self._prior_s = min(limit, _PRIOR_DEADLINE_SHARE * request_class.deadline_ms / 1000)
        self._first_byte_times = _Window()
        self._durations = _Window()
        self._count = 0
        self.mean_slot_time_s = self._prior_s

    @property
    def median_first_byte_s(self) -> float:
        """Median time to the first byte."""
        return self._first_byte_times.quantile(0.5) or self._prior_s

    @property
    def p95_first_byte_s(self) -> float | None:
        """95th percentile of the time to the first byte; ``None`` before it is known."""
        return (
            self._first_byte_times.quantile(0.95)
            if self._first_byte_times.has_enough_observations
            else None
        )

    @property
    def p95_duration_s(self) -> float | None:
        """95th percentile of the whole duration; ``None`` before it is known."""
        return self._durations.quantile(0.95) if self._durations.has_enough_observations else None

    @property
    def median_duration_s(self) -> float:
        return self._durations.quantile(0.5) or self._prior_s

    def observe_first_byte(self, seconds: float) -> None:
        self._first_byte_times.add(seconds)

    def observe_duration(self, seconds: float) -> None:
        self._durations.add(seconds)
        self._count += 1
        weight = max(_MEAN_WEIGHT, 1 / self._count)
        self.mean_slot_time_s += weight * (seconds - self.mean_slot_time_s)


class StatisticsRegistry:
    """Statistics by class name and predicted size.

    Long requests of a short class have separate statistics, because they would raise the
    predicted wait of the class many times over.
    """

    def __init__(self) -> None:
        self._classes: dict[tuple[str, RequestSize], ClassStatistics] = {}

    def for_class(self, request_class: RequestClass, size: RequestSize) -> ClassStatistics:
        key = (request_class.name, size)
        if key not in self._classes:
            self._classes[key] = ClassStatistics(request_class)
        return self._classes[key]

    def for_item(self, item: ItemState) -> ClassStatistics:
        return self.for_class(item.work.request_class, item.size)

    def retain_only(self, names: set[str]) -> None:
        """Remove the statistics of classes that are not among ``names``."""
        self._classes = {key: item for key, item in self._classes.items() if key[0] in names}
