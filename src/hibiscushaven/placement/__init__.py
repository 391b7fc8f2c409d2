"""Decisions about where a request runs, without clock or network of their own."""

from .affinity import hit_rate_name, known_rate_name
from .budget import RetryBudget
from .demand import Demand
from .loads import LoadReport, ServerLoad, ServerLoads
from .picker import NoRoom, Picker, PickerOptions, Placement

__all__ = [
    "Demand",
    "LoadReport",
    "NoRoom",
    "Picker",
    "PickerOptions",
    "Placement",
    "RetryBudget",
    "ServerLoad",
    "ServerLoads",
    "hit_rate_name",
    "known_rate_name",
]
