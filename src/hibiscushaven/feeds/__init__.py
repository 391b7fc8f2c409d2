"""Reading the platform's store in turns, for all VMs of a region."""

from .turns import RANK_STEP_S, READ_INTERVAL_S, ReadingTurn

__all__ = ["RANK_STEP_S", "READ_INTERVAL_S", "ReadingTurn"]
