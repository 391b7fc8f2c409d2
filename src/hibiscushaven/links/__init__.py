"""Byte budgets of the links between regions."""

from .budget import (
    BULK_PART,
    LinkBudget,
    LinkUse,
    Reservation,
    fixed_share,
    share_of_users,
)

__all__ = [
    "BULK_PART",
    "LinkBudget",
    "LinkUse",
    "Reservation",
    "fixed_share",
    "share_of_users",
]
