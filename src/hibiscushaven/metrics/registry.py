"""Registry of metrics by name, tenant and request class."""

import re
from dataclasses import dataclass
from struct import error as struct_error
from typing import TypeVar
from zlib import error as zlib_error

from hdrh.codec import HdrCookieException, HdrHistogramSettingsException, HdrLengthException
from hdrh.histogram import HdrHistogram

__all__ = ["MAX_SERIES", "OVERFLOW", "Counter", "Gauge", "Histogram", "Metrics", "SeriesKey"]

# A histogram's counts take about 27 KB, so this many take about 11 MB of a daemon's 64 MB.
MAX_SERIES = 400

# Tenant and class of everything beyond the limit.
OVERFLOW = "other"

_LOWEST_US, _HIGHEST_US, _DIGITS = 1, 3_600_000_000, 2

# Bits of a value that choose its count within a power of two, for two digits.
_SUB_BITS = 8

_DECODE_ERRORS = (
    HdrCookieException,
    HdrHistogramSettingsException,
    HdrLengthException,
    IndexError,
    TypeError,
    ValueError,
    struct_error,
    zlib_error,
)

_NAME = re.compile(r"[a-zA-Z_][a-zA-Z0-9_]*")


@dataclass(frozen=True, slots=True, order=True)
class SeriesKey:
    """Name and labels of a series; an empty label is left out of the exposition."""

    name: str
    tenant: str = ""
    request_class: str = ""


class Counter:
    """A count that only grows."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def add(self, amount: float = 1.0) -> None:
        """Add an amount.

        :raises ValueError: when it is negative.
        """
        if amount < 0:
            raise ValueError(f"a counter cannot fall by {-amount}")
        self.value += amount


class Gauge:
    """A value that rises and falls; merged snapshots add up."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def set(self, value: float) -> None:
        self.value = value


class Histogram:
    """Distribution of times, with a relative error below 1%.

    ``record`` counts in the library's array by itself, because ``record_value`` of the
    library costs several times as much. Its totals are set before each use of the library.
    """

    __slots__ = ("_count", "_counts", "_data", "_max", "_sum_us")

    def __init__(self) -> None:
        self._data = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
        self._counts = self._data.counts
        self._count = 0
        self._sum_us = 0
        self._max = self._data.max_value

    @property
    def count(self) -> int:
        return self._count

    @property
    def sum_s(self) -> float:
        return self._sum_us / 1e6

    def record(self, seconds: float) -> None:
        """Count a time in seconds; it is limited to between 1 microsecond and one hour."""
        value = int(seconds * 1e6)
        if value < _LOWEST_US:
            value = _LOWEST_US
        elif value > _HIGHEST_US:
            value = _HIGHEST_US
        shift = value.bit_length() - _SUB_BITS
        if shift < 0:
            shift = 0
        self._counts[(shift << _SUB_BITS - 1) + (value >> shift)] += 1
        self._count += 1
        self._sum_us += value
        if value > self._max:
            self._max = value

    def quantile_s(self, part: float) -> float:
        """Return the time in seconds that a part of the values, from 0 to 1, is within."""
        if self._count == 0:
            return 0.0
        return self._synced().get_value_at_percentile(100 * part) / 1e6

    def encode(self) -> bytes:
        """Return the compressed counts in the interchange form of HdrHistogram."""
        return self._synced().encode()

    @staticmethod
    def decode(encoded: bytes) -> HdrHistogram:
        """Return encoded counts, as ``merge`` takes them.

        :raises ValueError: when the bytes are no histogram of these limits.
        """
        try:
            data = HdrHistogram.decode(encoded)
        except _DECODE_ERRORS as error:
            raise ValueError(f"not a histogram: {encoded[:40]!r}") from error
        limits = data.lowest_trackable_value, data.highest_trackable_value, data.significant_figures
        if limits != (_LOWEST_US, _HIGHEST_US, _DIGITS):
            raise ValueError(f"a histogram with the limits {limits}")
        return data

    def merge(self, data: HdrHistogram, sum_s: float) -> None:
        """Add decoded counts and the sum of their times."""
        own = self._synced()
        own.add(data)
        self._count = own.total_count
        self._max = own.max_value
        self._sum_us += round(sum_s * 1e6)

    def _synced(self) -> HdrHistogram:
        self._data.total_count = self._count
        self._data.max_value = self._max
        return self._data


Series = TypeVar("Series", Counter, Gauge, Histogram)


class Metrics:
    """All series of one daemon.

    Explanation
    ===========

    A series is made when it is first asked for. Once there are ``max_series``, further
    tenants and classes of a name share one series labelled ``other``, so that no caller can
    make memory grow. Hold on to the returned objects on hot paths.

    Examples
    ========

    >>> metrics = Metrics()
    >>> metrics.histogram("latency_seconds", "retalho-sul", "stock").record(0.020)
    >>> metrics.histogram("latency_seconds", "retalho-sul", "stock").count
    1

    """

    def __init__(self, max_series: int = MAX_SERIES) -> None:
        self._max_series = max_series
        self._series: dict[SeriesKey, Counter | Gauge | Histogram] = {}
        self._types: dict[str, type] = {}
        self.overflowed = Counter()

    @property
    def size(self) -> int:
        """Number of series."""
        return len(self._series)

    def counter(self, name: str, tenant: str = "", request_class: str = "") -> Counter:
        """Return the counter of these labels."""
        return self.series(Counter, SeriesKey(name, tenant, request_class))

    def gauge(self, name: str, tenant: str = "", request_class: str = "") -> Gauge:
        """Return the gauge of these labels."""
        return self.series(Gauge, SeriesKey(name, tenant, request_class))

    def histogram(self, name: str, tenant: str = "", request_class: str = "") -> Histogram:
        """Return the histogram of these labels."""
        return self.series(Histogram, SeriesKey(name, tenant, request_class))

    def items(self) -> list[tuple[SeriesKey, Counter | Gauge | Histogram]]:
        """Return all series by name, tenant and class."""
        return sorted(self._series.items(), key=lambda item: item[0])

    def series(self, cls: type[Series], key: SeriesKey) -> Series:
        """Return the series of a key.

        :raises ValueError: when the name is malformed or belongs to another type.
        """
        found = self._series.get(key)
        if found is None:
            return self._make(cls, key)
        if type(found) is not cls:
            raise ValueError(f"metric {key.name!r} is a {type(found).__name__}")
        return found

    def _make(self, cls: type[Series], key: SeriesKey) -> Series:
        if not _NAME.fullmatch(key.name):
            raise ValueError(f"metric name {key.name!r}: expected letters, digits and '_'")
        if self._types.setdefault(key.name, cls) is not cls:
            raise ValueError(f"metric {key.name!r} is a {self._types[key.name].__name__}")
        if len(self._series) >= self._max_series and key.tenant + key.request_class:
            self.overflowed.add()
            key = SeriesKey(key.name, OVERFLOW, OVERFLOW)
        # Names come from the code, so one overflow series for each keeps the total bounded.
        return self._series.setdefault(key, cls())
