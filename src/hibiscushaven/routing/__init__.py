"""Configuration of a deployment, and selection of the route and service of a request."""

from .model import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    ServiceOptions,
    WeightedService,
)
from .operator_state import OperatorState
from .splits import SplitChooser
from .table import RouteTable

__all__ = [
    "CallerLimits",
    "Configuration",
    "OperatorState",
    "RequestKind",
    "Route",
    "RouteTable",
    "ServiceOptions",
    "SplitChooser",
    "WeightedService",
]
