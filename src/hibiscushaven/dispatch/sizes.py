"""Prediction of request sizes: learns which requests of short classes are long."""

from collections import OrderedDict

from hibiscushaven.documents import RequestSize

from .statistics import ClassStatistics
from .work import WorkItem

__all__ = ["SizePredictor"]

# Multiple of the 95th percentile; ordinary variance must not make a request long.
_LONG_FACTOR = 8.0
_MAX_PATHS = 4096
# A single short run may have been a cached response; three in a row are not.
_SHORT_RUNS_TO_RESET = 3


class SizePredictor:
    """Stores the paths of short classes whose requests are long, up to a limit."""

    def __init__(self) -> None:
        self._long_paths: OrderedDict[tuple[str, str], int] = OrderedDict()

    def predict(self, work: WorkItem) -> RequestSize:
        if work.request_class.is_long or work.size_key in self._long_paths:
            return RequestSize.LONG
        return RequestSize.SHORT

    def is_overlong(self, statistics: ClassStatistics, seconds: float, slowness: float) -> bool:
        """Return whether a run took many times longer than is usual for its class.

        :param slowness: latency of the backend server relative to the median; the duration is
            divided by it, because a long run on a slow server need not be a long request.
        """
        p95_s = statistics.p95_duration_s
        return p95_s is not None and seconds / max(1.0, slowness) > _LONG_FACTOR * p95_s

    def mark_long(self, work: WorkItem) -> None:
        self._long_paths[work.size_key] = 0
        self._long_paths.move_to_end(work.size_key)
        if len(self._long_paths) > _MAX_PATHS:
            self._long_paths.popitem(last=False)

    def record_short_run(self, work: WorkItem) -> None:
        runs = self._long_paths.get(work.size_key)
        if runs is None:
            return
        self._long_paths[work.size_key] = runs + 1
        if runs + 1 >= _SHORT_RUNS_TO_RESET:
            del self._long_paths[work.size_key]
