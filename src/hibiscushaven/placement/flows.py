"""Which region runs a request."""

from collections.abc import Mapping

__all__ = ["RegionShares", "target_shares"]

# Part of a region's slots that its own callers fill before others help out. Beyond it, waiting
# for a slot costs more than the way to another region.
FILLED_PART = 0.6

# Load that is assumed while no arrivals are known, as a part of all slots.
PRIOR_PART = 0.5


def target_shares(
    region: str,
    arrivals: Mapping[str, float],
    slots: Mapping[str, int],
    work_s: float,
) -> dict[str, float]:
    """Return the part of a region's requests that each region should run.

    Explanation
    ===========

    Each region keeps its own requests up to ``FILLED_PART`` of its slots. What is over goes to
    the regions with room left, in proportion to it. What finds no room anywhere is spread by
    slots, so that an overload is the same for all.

    :param arrivals: requests a second by region of the callers.
    :param slots: usable slots by region.
    :param work_s: mean work time in seconds.

    Examples
    ========

    >>> target_shares("a", {"a": 10, "b": 10}, {"a": 10, "b": 10}, 0.1)
    {'a': 1.0}
    >>> shares = target_shares("a", {"a": 20, "b": 0}, {"a": 2, "b": 10}, 0.1)
    >>> {name: round(share, 2) for name, share in shares.items()}
    {'a': 0.6, 'b': 0.4}

    """
    total_slots = sum(slots.values())
    own = arrivals.get(region, 0.0)
    if total_slots == 0:
        return {region: 1.0}
    if own <= 0:
        return {region: 1.0} if slots.get(region) else _by(slots)
    rooms = {name: FILLED_PART * count / work_s for name, count in slots.items()}
    kept = {name: min(arrivals.get(name, 0.0), rooms.get(name, 0.0)) for name in {*rooms, region}}
    spare = {name: room - kept[name] for name, room in rooms.items() if room > kept[name]}
    surplus = sum(rate - kept.get(name, 0.0) for name, rate in arrivals.items())
    fitting = min(1.0, sum(spare.values()) / surplus) if surplus > 0 else 0.0
    over = own - kept[region]
    flow = {region: kept[region]}
    for name, part in _by(spare).items():
        flow[name] = flow.get(name, 0.0) + over * fitting * part
    for name, part in _by(slots).items():
        flow[name] = flow.get(name, 0.0) + over * (1.0 - fitting) * part
    return {name: rate / own for name, rate in flow.items() if rate > 1e-9 * own}


def _by(amounts: Mapping[str, float]) -> dict[str, float]:
    total = sum(amounts.values())
    return {name: amount / total for name, amount in amounts.items()} if total else {}


class RegionShares:
    """Current shares of the regions for one service, moving to their target at a bounded rate.

    Explanation
    ===========

    Objects are spread over the regions by their hash, the same at all VMs of a region, so that
    an object's requests stay in one region while the shares move slowly.

    :ivar most_per_s: part of the requests that may move in a second.

    Examples
    ========

    >>> shares = RegionShares("a", most_per_s=0.1)
    >>> shares.move(0.0, {"a": 1.0})
    >>> shares.move(1.0, {"b": 1.0})
    >>> {name: round(share, 2) for name, share in shares.shares.items()}
    {'a': 0.9, 'b': 0.1}
    >>> shares.region_at(0.5), shares.region_at(0.95)
    ('a', 'b')

    """

    def __init__(self, region: str, most_per_s: float) -> None:
        self._region = region
        self.most_per_s = most_per_s
        self._shares: dict[str, float] = {}
        self._moved_at: float | None = None

    @property
    def shares(self) -> Mapping[str, float]:
        return self._shares

    def move(self, now: float, target: Mapping[str, float]) -> None:
        """Move towards a target, by ``most_per_s`` at most; the first one is taken at once."""
        if self._moved_at is None:
            self._shares = dict(target)
            self._moved_at = now
            return
        step = self.most_per_s * max(0.0, now - self._moved_at)
        self._moved_at = now
        names = {*self._shares, *target}
        gaps = {name: target.get(name, 0.0) - self._shares.get(name, 0.0) for name in names}
        moved = sum(gap for gap in gaps.values() if gap > 0)
        part = min(1.0, step / moved) if moved > 0 else 0.0
        shares = {name: self._shares.get(name, 0.0) + part * gaps[name] for name in names}
        self._shares = {name: share for name, share in sorted(shares.items()) if share > 1e-6}

    def region_at(self, position: float) -> str:
        """Return the region of a position from 0 to 1."""
        position -= self._shares.get(self._region, 0.0)
        if position < 0:
            return self._region
        others = [(name, share) for name, share in self._shares.items() if name != self._region]
        for name, share in others:
            position -= share
            if position < 0:
                return name
        return others[-1][0] if others else self._region
