"""Traffic shifts between places: ramped shares, planned flows and admission at the owner."""

from .admission import ForeignAdmission
from .capacity import limit_by_capacity
from .plan import Flows, plan_flows
from .ramp import ShareRamp, target_shares
from .rates import ArrivalRates

__all__ = [
    "ArrivalRates",
    "Flows",
    "ForeignAdmission",
    "ShareRamp",
    "limit_by_capacity",
    "plan_flows",
    "target_shares",
]
