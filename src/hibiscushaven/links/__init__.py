"""Byte budgets of the links between regions."""

from .budget import (
    BULK_FRACTION,
    LinkBudget,
    Reservation,
    TrafficClass,
    fixed_share,
    share_per_user,
)

__all__ = [
    "BULK_FRACTION",
    "LinkBudget",
    "Reservation",
    "TrafficClass",
    "fixed_share",
    "share_per_user",
]
