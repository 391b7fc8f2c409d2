"""Estimate of the borrowed tokens to keep available for long work, beyond those in use."""

from dataclasses import dataclass

__all__ = ["LongWorkDemand"]

# Demand without requests for this long is dropped. Long work that arrives less often waits for a
# round trip to a lender each time.
_DEMAND_EXPIRY_S = 10.0
_HEADROOM_RESET_S = 5.0
# The next tick sends a renewal, so further shortages before it are not a reason to double again.
_MIN_DOUBLING_INTERVAL_S = 0.2
_MAX_HEADROOM = 64


@dataclass(slots=True)
class _PoolDemand:
    used_at: float
    shortage_at: float = float("-inf")
    headroom: int = 1


class LongWorkDemand:
    """Recent demand for tokens for long work by pool.

    Explanation
    ===========

    Tokens for long work return late after their borrower crashes, so none are kept available
    without demand. The headroom doubles while long work finds no token.
    """

    def __init__(self) -> None:
        self._by_pool: dict[str, _PoolDemand] = {}

    def record(self, now: float, pool: str, is_shortage: bool = False) -> None:
        """Record a request for a token for long work.

        :param is_shortage: whether no token was available.
        """
        demand = self._by_pool.get(pool)
        if demand is None:
            demand = self._by_pool[pool] = _PoolDemand(now)
            demand.shortage_at = now if is_shortage else demand.shortage_at
        elif is_shortage and now - demand.shortage_at >= _MIN_DOUBLING_INTERVAL_S:
            demand.headroom = min(_MAX_HEADROOM, 2 * demand.headroom)
            demand.shortage_at = now
        demand.used_at = now

    def headroom(self, now: float, pool: str) -> int:
        """Return how many tokens of a pool to request from each lender beyond those in use."""
        demand = self._by_pool.get(pool)
        if demand is None:
            return 0
        if now - demand.used_at >= _DEMAND_EXPIRY_S:
            del self._by_pool[pool]
            return 0
        if now - demand.shortage_at >= _HEADROOM_RESET_S:
            demand.headroom = 1
        return demand.headroom
