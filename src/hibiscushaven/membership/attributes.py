"""Attributes that VMs publish, and how relays combine them for the digest.

An attribute is a small named value that a VM's heartbeats carry.
"""

from collections.abc import Callable, Iterable
from typing import Any

__all__ = ["COMBINERS", "Combiner", "add_per_key", "combine_attributes", "combiner"]

Combiner = Callable[[list[Any]], Any]

COMBINERS: dict[str, Combiner] = {}


def combiner(*names: str) -> Callable[[Combiner], Combiner]:
    """Return a decorator that registers a function to combine attributes over the VMs.

    Explanation
    ===========

    An attribute without a combiner reaches the VM's heartbeat peers but is left out of the digest.

    :param names: attributes that the function combines.
    """

    def register(function: Combiner) -> Combiner:
        for name in names:
            if COMBINERS.setdefault(name, function) is not function:
                raise ValueError(f"attribute {name!r} already has a combiner")
        return function

    return register


@combiner("arrivals")
def add_per_key(values: list[Any]) -> dict[str, float]:
    """Sum the values of each key.

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
    """Return the digest's attributes, combined from the attributes of each VM."""
    values: dict[str, list[Any]] = {}
    for vm_attributes in attributes:
        for name, value in vm_attributes.items():
            if name in COMBINERS:
                values.setdefault(name, []).append(value)
    return {name: COMBINERS[name](items) for name, items in sorted(values.items())}
