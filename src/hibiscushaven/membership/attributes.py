"""How relays combine the parts of their VMs into the digest of the failure domain."""

from collections.abc import Callable, Iterable
from typing import Any

__all__ = ["COMBINERS", "Combiner", "add_per_key", "combine_attributes", "combiner"]

Combiner = Callable[[list[Any]], Any]

COMBINERS: dict[str, Combiner] = {}


def combiner(*names: str) -> Callable[[Combiner], Combiner]:
    """Register the function that combines the values of a part over the VMs.

    Explanation
    ===========

    A part without a combiner is known to the VM's neighbours but left out of the digest.
    """

    def register(function: Combiner) -> Combiner:
        for name in names:
            if COMBINERS.setdefault(name, function) is not function:
                raise ValueError(f"part {name!r} already has a combiner")
        return function

    return register


@combiner("arrivals")
def add_per_key(values: list[Any]) -> dict[str, float]:
    """Add numbers per key.

    Examples
    ========

    >>> add_per_key([{"stock": 1.5}, {"stock": 2, "orders": 1}])
    {'stock': 3.5, 'orders': 1}

    """
    total: dict[str, float] = {}
    for value in values:
        for key, number in value.items():
            total[key] = total.get(key, 0) + number
    return total


def combine_attributes(attributes: Iterable[dict[str, Any]]) -> dict[str, Any]:
    """Return the digest's parts from the parts of each VM."""
    values: dict[str, list[Any]] = {}
    for part in attributes:
        for name, value in part.items():
            if name in COMBINERS:
                values.setdefault(name, []).append(value)
    return {name: COMBINERS[name](items) for name, items in sorted(values.items())}
