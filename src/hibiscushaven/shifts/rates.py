"""Arrival rates of one VM by service, which its heartbeats carry."""

from dataclasses import dataclass
from math import exp

__all__ = ["ArrivalRates"]

# A shorter time constant makes the plan follow the noise of single VMs; a longer one lags
# behind surges.
TIME_CONSTANT_S = 5.0

# Minimum observation time of an estimate, so that one early arrival does not look like a surge.
_MIN_OBSERVED_S = 0.5


@dataclass(slots=True)
class _Rate:
    started_at: float
    updated_at: float
    value: float = 0.0


class ArrivalRates:
    """Exponentially weighted estimates of the arrivals a second.

    Estimates are corrected for the bias towards 0 shortly after a service's first arrival.

    Examples
    ========

    >>> rates = ArrivalRates()
    >>> for tick in range(200):
    ...     rates.record(tick / 10, "stock")
    >>> round(rates.rate(20.0, "stock"))
    10

    """

    def __init__(self, time_constant_s: float = TIME_CONSTANT_S) -> None:
        self._time_constant_s = time_constant_s
        self._rates: dict[str, _Rate] = {}

    def record(self, now: float, service: str, count: int = 1) -> None:
        """Count arrivals."""
        item = self._rates.get(service)
        if item is None:
            item = self._rates[service] = _Rate(now, now)
        self._decay(item, now)
        item.value += count / self._time_constant_s

    def rate(self, now: float, service: str) -> float:
        """Return the arrivals a second of a service, 0 if it had none."""
        item = self._rates.get(service)
        if item is None:
            return 0.0
        self._decay(item, now)
        observed = max(_MIN_OBSERVED_S, now - item.started_at)
        return item.value / (1.0 - exp(-observed / self._time_constant_s))

    def rates(self, now: float) -> dict[str, float]:
        """Return the rates of all services."""
        return {service: self.rate(now, service) for service in sorted(self._rates)}

    def _decay(self, item: _Rate, now: float) -> None:
        elapsed = now - item.updated_at
        if elapsed > 0:
            item.value *= exp(-elapsed / self._time_constant_s)
            item.updated_at = now
