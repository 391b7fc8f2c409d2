"""Predicted size of requests: learned where a short class has long requests."""

from collections import OrderedDict

from hibiscushaven.documents import RequestSize

from .statistics import ClassStatistics
from .work import Work

__all__ = ["SizeBook"]

# Far above the 95th percentile of the class, so that ordinary variation stays short.
_LONG_FACTOR = 8.0
_PATH_LIMIT = 4096
# One short run after a long one may be a cached answer; three in a row are not.
_SHORT_RUNS_TO_FORGET = 3


class SizeBook:
    """Paths of short classes whose requests run as long as long work; bounded."""

    def __init__(self) -> None:
        self._long_paths: OrderedDict[tuple[str, str], int] = OrderedDict()

    def predict(self, work: Work) -> RequestSize:
        if work.request_class.is_long or work.size_key in self._long_paths:
            return RequestSize.LONG
        return RequestSize.SHORT

    def is_overlong(self, statistics: ClassStatistics, seconds: float, slowness: float) -> bool:
        """Return whether a run is many times longer than its class usually takes.

        :param slowness: how many times slower the backend server is than the others; a slow
            server says nothing about the request.
        """
        usual = statistics.long_duration_s
        return usual is not None and seconds / max(1.0, slowness) > _LONG_FACTOR * usual

    def mark_long(self, work: Work) -> None:
        self._long_paths[work.size_key] = 0
        self._long_paths.move_to_end(work.size_key)
        if len(self._long_paths) > _PATH_LIMIT:
            self._long_paths.popitem(last=False)

    def mark_short(self, work: Work) -> None:
        runs = self._long_paths.get(work.size_key)
        if runs is None:
            return
        self._long_paths[work.size_key] = runs + 1
        if runs + 1 >= _SHORT_RUNS_TO_FORGET:
            del self._long_paths[work.size_key]
