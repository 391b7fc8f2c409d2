"""Selection of backend servers by load and cache affinity, without I/O.

The current time and the state of other VMs are passed in by the caller.
"""

from .admission import PlacementRequest
from .affinity import cache_hit_counter, cache_lookup_counter
from .budget import RetryBudget
from .loads import LoadReport, ServerLoad, ServerLoads
from .notices import ServerNotice, ServerNotices
from .picker import Picker, PickerOptions, Placement, PlacementRejection
from .rate_limits import RateLimit, RateLimitTable

__all__ = [
    "LoadReport",
    "Picker",
    "PickerOptions",
    "Placement",
    "PlacementRejection",
    "PlacementRequest",
    "RateLimit",
    "RateLimitTable",
    "RetryBudget",
    "ServerLoad",
    "ServerLoads",
    "ServerNotice",
    "ServerNotices",
    "cache_hit_counter",
    "cache_lookup_counter",
]
