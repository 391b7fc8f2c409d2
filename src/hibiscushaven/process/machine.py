"""Memory and descriptors that the machine gives to one process."""

import os
import resource
from dataclasses import dataclass
from typing import Self

__all__ = ["MachineLimits"]

# Memory of a small VM, for processes that are not told how much they may occupy.
DEFAULT_MEMORY_MB = 192

_BYTES_PER_MB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class MachineLimits:
    """Limits of one process.

    :ivar memory_bytes: memory that the process may occupy.
    :ivar descriptors: descriptors that it may have open.
    """

    memory_bytes: int
    descriptors: int

    @classmethod
    def detect(cls, memory_mb: float | None = None, max_descriptors: int | None = None) -> Self:
        """Return the limits of the process, which are at most those of the machine.

        Examples
        ========

        >>> MachineLimits.detect(memory_mb=64, max_descriptors=16)
        MachineLimits(memory_bytes=67108864, descriptors=16)
        >>> MachineLimits.detect().memory_bytes <= DEFAULT_MEMORY_MB * 2**20
        True

        :param memory_mb: memory of the process in MB; by default that of a small VM.
        :param max_descriptors: upper limit of its descriptors; by default only that of the system.
        """
        memory_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
        if memory_mb is None:
            memory_mb = DEFAULT_MEMORY_MB
        memory_bytes = min(memory_bytes, int(memory_mb * _BYTES_PER_MB))
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if max_descriptors is not None:
            descriptors = min(descriptors, max_descriptors)
        return cls(memory_bytes, descriptors)
