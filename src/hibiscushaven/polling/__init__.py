"""Schedule by which the VMs of a region share the reads of the platform's store."""

from .schedule import RANK_DELAY_S, READ_INTERVAL_S, ReadSchedule

__all__ = ["RANK_DELAY_S", "READ_INTERVAL_S", "ReadSchedule"]
