"""How many borrowed tokens are kept ready for long work, beyond those in use for it."""

from dataclasses import dataclass

__all__ = ["LongDemand"]

# Long work that comes less often than this waits for one round trip to a lender each time.
_IDLE_S = 10.0
_CALM_S = 5.0
# A renewal goes out with the next tick, so failures in between say nothing new.
_RAISE_EVERY_S = 0.2
_HEADROOM_MAX = 64


@dataclass(slots=True)
class _Recent:
    used_at: float
    missed_at: float = float("-inf")
    headroom: int = 1


class LongDemand:
    """Recent demand for long work by pool.

    Explanation
    ===========

    Tokens for long work return late after an unclean end of their borrower, so none are
    kept ready without demand. The headroom doubles while long work finds no token.
    """

    def __init__(self) -> None:
        self._recent: dict[str, _Recent] = {}

    def note(self, now: float, pool: str, is_missed: bool = False) -> None:
        """Note a request for a token for long work."""
        recent = self._recent.get(pool)
        if recent is None:
            recent = self._recent[pool] = _Recent(now)
            recent.missed_at = now if is_missed else recent.missed_at
        elif is_missed and now - recent.missed_at >= _RAISE_EVERY_S:
            recent.headroom = min(_HEADROOM_MAX, 2 * recent.headroom)
            recent.missed_at = now
        recent.used_at = now

    def headroom(self, now: float, pool: str) -> int:
        """Return how many tokens of a pool each lender is asked for beyond those in use."""
        recent = self._recent.get(pool)
        if recent is None:
            return 0
        if now - recent.used_at >= _IDLE_S:
            del self._recent[pool]
            return 0
        if now - recent.missed_at >= _CALM_S:
            recent.headroom = 1
        return recent.headroom
