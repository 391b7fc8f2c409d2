"""Registry of metrics by name, tenant and request class."""

import re
from dataclasses import dataclass
from struct import error as struct_error
from typing import TypeVar
from zlib import error as zlib_error

from hdrh.codec import HdrCookieException, HdrHistogramSettingsException, HdrLengthException
from hdrh.histogram import HdrHistogram

__all__ = ["MAX_SERIES", "OVERFLOW_LABEL", "Counter", "Gauge", "Histogram", "Metrics", "SeriesKey"]

# The counts of a histogram take about 27 KB; 400 of them take about 11 MB of a daemon's 64 MB.
MAX_SERIES = 400

# Tenant and class label of the series that replaces further series beyond the limit.
OVERFLOW_LABEL = "other"

_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS = 1, 3_600_000_000, 2

# Bits of a value that select its bucket within a power of two, for two significant digits.
_SUB_BUCKET_BITS = 8

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
    """Name and labels of a series; the exposition omits empty labels."""

    name: str
    tenant: str = ""
    request_class: str = ""


class Counter:
    """A value that only increases."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def add(self, amount: float = 1.0) -> None:
        """Add an amount.

        :raises ValueError: if the amount is negative.
        """
        if amount < 0:
            raise ValueError(f"a counter cannot fall by {-amount}")
        self.value += amount


class Gauge:
    """A value that rises and falls; merging a snapshot adds its value."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0.0

    def set(self, value: float) -> None:
        self.value = value


class Histogram:
    """Distribution of durations, with a relative error below 1%.

    ``record`` increments the counts in the library's array directly, because the library's
    ``record_value`` costs several times as much. The library's total and maximum are updated
    before each of its methods that needs them.
    """

    __slots__ = ("_count", "_counts", "_data", "_max_us", "_sum_us")

    def __init__(self) -> None:
        self._data = HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)
        self._counts = self._data.counts
        self._count = 0
        self._sum_us = 0
        self._max_us = self._data.max_value

    @property
    def count(self) -> int:
        return self._count

    @property
    def sum_s(self) -> float:
        return self._sum_us / 1e6

    def record(self, seconds: float) -> None:
        """Count a duration; it is clamped to the range from one microsecond to one hour."""
        value = int(seconds * 1e6)
        if value < _MIN_US:
            value = _MIN_US
        elif value > _MAX_US:
            value = _MAX_US
        shift = value.bit_length() - _SUB_BUCKET_BITS
        if shift < 0:
            shift = 0
        self._counts[(shift << _SUB_BUCKET_BITS - 1) + (value >> shift)] += 1
        self._count += 1
        self._sum_us += value
        if value > self._max_us:
            self._max_us = value

    def quantile_s(self, quantile: float) -> float:
        """Return a quantile in seconds, or 0 if the histogram is empty.

        :param quantile: fraction of the values, from 0 to 1.
        """
        if self._count == 0:
            return 0.0
        return self._synchronized_data().get_value_at_percentile(100 * quantile) / 1e6

    def encode(self) -> bytes:
        """Return the compressed counts in the interchange format of HdrHistogram."""
        return self._synchronized_data().encode()

    @staticmethod
    def decode(encoded: bytes) -> HdrHistogram:
        """Decode the result of ``encode`` for ``merge``.

        :raises ValueError: if the bytes are not a histogram with the limits of this class.
        """
        try:
            data = HdrHistogram.decode(encoded)
        except _DECODE_ERRORS as error:
            raise ValueError(f"not a histogram: {encoded[:40]!r}") from error
        limits = data.lowest_trackable_value, data.highest_trackable_value, data.significant_figures
        if limits != (_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS):
            raise ValueError(f"a histogram with the limits {limits}")
        return data

    def merge(self, data: HdrHistogram, sum_s: float) -> None:
        """Add decoded counts and the sum of their durations."""
        own = self._synchronized_data()
        own.add(data)
        self._count = own.total_count
        self._max_us = own.max_value
        self._sum_us += round(sum_s * 1e6)

    def _synchronized_data(self) -> HdrHistogram:
        self._data.total_count = self._count
        self._data.max_value = self._max_us
        return self._data


Series = TypeVar("Series", Counter, Gauge, Histogram)


class Metrics:
    """Registry of all series of a process.

    Explanation
    ===========

    A series is created on first use. Once there are ``max_series``, all further tenants and
    classes of a name share one series with the label ``other``, so that callers cannot make
    the memory grow. Hot paths should keep the returned objects.

    :ivar overflowed: number of look-ups for which a shared series was returned.

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
    def series_count(self) -> int:
        """Number of series."""
        return len(self._series)

    def counter(self, name: str, tenant: str = "", request_class: str = "") -> Counter:
        """Return the counter with this name and these labels."""
        return self.get_or_create(Counter, SeriesKey(name, tenant, request_class))

    def gauge(self, name: str, tenant: str = "", request_class: str = "") -> Gauge:
        """Return the gauge with this name and these labels."""
        return self.get_or_create(Gauge, SeriesKey(name, tenant, request_class))

    def histogram(self, name: str, tenant: str = "", request_class: str = "") -> Histogram:
        """Return the histogram with this name and these labels."""
        return self.get_or_create(Histogram, SeriesKey(name, tenant, request_class))

    def items(self) -> list[tuple[SeriesKey, Counter | Gauge | Histogram]]:
        """Return all series, sorted by name, tenant and class."""
        return sorted(self._series.items(), key=lambda item: item[0])

    def get_or_create(self, cls: type[Series], key: SeriesKey) -> Series:
        """Return the series with a key and create it if necessary.

        :param cls: type of the series.
        :raises ValueError: if the name is malformed or in use for another type.
        """
        existing = self._series.get(key)
        if existing is None:
            return self._create_series(cls, key)
        if type(existing) is not cls:
            raise ValueError(f"metric {key.name!r} is a {type(existing).__name__}")
        return existing

    def _create_series(self, cls: type[Series], key: SeriesKey) -> Series:
        if not _NAME.fullmatch(key.name):
            raise ValueError(f"metric name {key.name!r}: expected letters, digits and '_'")
        if self._types.setdefault(key.name, cls) is not cls:
            raise ValueError(f"metric {key.name!r} is a {self._types[key.name].__name__}")
        if len(self._series) >= self._max_series and key.tenant + key.request_class:
            self.overflowed.add()
            key = SeriesKey(key.name, OVERFLOW_LABEL, OVERFLOW_LABEL)
        # The code determines the names, so that one overflow series per name is a bounded number.
        return self._series.setdefault(key, cls())
