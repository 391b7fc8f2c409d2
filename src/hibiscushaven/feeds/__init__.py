"""Reading the platform's store in turns, for all VMs of a region."""

from .turns import READ_INTERVAL_S, ReadingTurn

__all__ = ["READ_INTERVAL_S", "ReadingTurn"]
