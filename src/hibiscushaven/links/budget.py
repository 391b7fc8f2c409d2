"""Byte budget of one VM on the link between two regions."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from hibiscushaven.shifts.window import WindowMin

__all__ = [
    "BULK_PART",
    "FIXED_PART",
    "HOLD_S",
    "LinkBudget",
    "LinkUse",
    "Reservation",
    "fixed_share",
    "share_of_users",
]

# Bulk traffic is refused once so much of the share is in use, so short work always fits.
BULK_PART = 0.8

# Part of the cap that belongs to the VMs in equal shares, used or not. A VM that has just
# started or is isolated uses only this, so that all VMs together stay within the cap. The
# rest is divided among the VMs that use the link.
FIXED_PART = 0.5

# Time before a larger share is used. Until then other VMs may not know of a change in the
# number of users; digests take up to 1 s each way and a VM is down after 2 s.
HOLD_S = 4.0

# Pacing: a rate and a burst that together stay below the share in any window of 1 s, with
# room for one more chunk of a body.
_PACE_PART = 0.85
_BURST_S = 0.1

_WINDOW_S = 1.0
_BYTES_PER_MBIT = 125_000


class LinkUse(StrEnum):
    """Traffic that bytes belong to."""

    SHORT = "short"
    BULK = "bulk"


def fixed_share(vm_count: int) -> float:
    """Return the part of a link's cap that every VM has at all times.

    :param vm_count: most VMs that may use the link.
    """
    return FIXED_PART / vm_count


def share_of_users(vm_count: int, user_count: int) -> float:
    """Return the part of a link's cap of a VM that is one of the known users.

    Examples
    ========

    >>> share_of_users(vm_count=20, user_count=5)
    0.125

    """
    return fixed_share(vm_count) + (1.0 - FIXED_PART) / max(1, user_count)


@dataclass(slots=True, eq=False)
class Reservation:
    """Bytes that a long body is predicted to take, spread over its time.

    :ivar rate: bytes a second that are set aside.
    """

    use: LinkUse
    predicted_bytes: int
    rate: float
    sent_bytes: int = 0
    is_settled: bool = field(default=False)


class LinkBudget:
    """Bytes that this VM may move over one link, both directions together.

    Explanation
    ===========

    Level of use: rates of the open reservations, plus the bytes of the last second that no
    reservation covers, or all bytes of the last second if they are more. Short traffic is
    admitted while the level is within the share, bulk traffic while it is within 80% of it.
    Whatever one of them leaves, the other may use.

    A reservation that turns out too small counts by its real bytes, and one that is settled
    early is released at once. ``charge`` also tells how long to wait before more bytes, so
    that the real bytes stay within the share whatever was predicted.

    :param cap_mbit_s: cap of the link, both directions together.
    :param vm_count: most VMs that may use the link.
    """

    def __init__(self, cap_mbit_s: float, vm_count: int) -> None:
        self._cap = cap_mbit_s * _BYTES_PER_MBIT
        self._vm_count = vm_count
        self._share = fixed_share(vm_count)
        self._asked = WindowMin(HOLD_S)
        self._last_asked = self._share
        self._open: dict[Reservation, None] = {}
        self._recent: deque[tuple[float, int, int]] = deque()
        self._recent_bytes = 0
        self._uncovered_bytes = 0
        self._tokens = self._rate * _BURST_S
        self._now = float("-inf")

    @property
    def share(self) -> float:
        """Part of the link's cap that this VM may use."""
        return self._share

    @property
    def bytes_per_s(self) -> float:
        """Bytes a second that this VM may move."""
        return self._rate

    def set_cap(self, now: float, cap_mbit_s: float) -> None:
        """Change the link's cap, as after an edit of the document."""
        self._advance(now)
        self._cap = cap_mbit_s * _BYTES_PER_MBIT

    def set_users(self, now: float, user_count: int | None) -> None:
        """Set the number of VMs that use the link, this one included.

        A smaller share applies at once, a larger one once it was due for ``HOLD_S``.

        :param user_count: ``None`` if this VM is isolated and cannot know.
        """
        self._advance(now)
        share = fixed_share(self._vm_count)
        if user_count is not None:
            share = share_of_users(self._vm_count, user_count)
        self._asked.add(now, self._last_asked)
        self._asked.add(now, share)
        self._last_asked = share
        self._share = self._asked.least(now)

    def level(self, now: float) -> float:
        """Return the part of this VM's share that is in use."""
        self._advance(now)
        return self._used() / self._rate if self._rate > 0 else 1.0

    def admit(self, now: float, size: int, use: LinkUse = LinkUse.SHORT) -> bool:
        """Return whether bytes of a short exchange fit, and count them if so."""
        self._advance(now)
        if self._used() + size / _WINDOW_S > self._limit(use):
            return False
        self._record(size, size)
        return True

    def reserve(
        self, now: float, size: int, duration_s: float, use: LinkUse = LinkUse.BULK
    ) -> Reservation | None:
        """Set aside the predicted bytes of a long body, or return ``None`` to refuse it.

        :param duration_s: predicted time of the transfer; at least 1 s is assumed.
        """
        self._advance(now)
        rate = size / max(_WINDOW_S, duration_s)
        if self._used() + rate > self._limit(use):
            return None
        reservation = Reservation(use, size, rate)
        self._open[reservation] = None
        return reservation

    def charge(self, now: float, reservation: Reservation, size: int) -> float:
        """Count real bytes of a body; return the time to wait before the next, in seconds.

        Bytes beyond the prediction count against the level like those of short traffic.
        """
        self._advance(now)
        before = max(reservation.sent_bytes, reservation.predicted_bytes)
        reservation.sent_bytes += size
        excess = size if reservation.is_settled else max(0, reservation.sent_bytes - before)
        self._record(size, excess)
        pace = self._rate * _PACE_PART
        return max(0.0, -self._tokens / pace) if pace > 0 else 0.0

    def settle(self, now: float, reservation: Reservation, real_bytes: int) -> None:
        """Close a reservation at the end of its body, whole or not.

        :param real_bytes: bytes that were moved; those not charged yet are counted now.
        """
        self._advance(now)
        missing = real_bytes - reservation.sent_bytes
        if missing > 0:
            self.charge(now, reservation, missing)
        reservation.is_settled = True
        self._open.pop(reservation, None)

    @property
    def _rate(self) -> float:
        return self._cap * self._share

    def _limit(self, use: LinkUse) -> float:
        return self._rate * (BULK_PART if use is LinkUse.BULK else 1.0)

    def _used(self) -> float:
        reserved = sum(item.rate for item in self._open)
        return max(reserved + self._uncovered_bytes / _WINDOW_S, self._recent_bytes / _WINDOW_S)

    def _record(self, size: int, uncovered: int) -> None:
        self._tokens -= size
        self._recent.append((self._now, size, uncovered))
        self._recent_bytes += size
        self._uncovered_bytes += uncovered

    def _advance(self, now: float) -> None:
        if now <= self._now:
            return
        elapsed = min(now - self._now, _WINDOW_S)
        self._now = now
        if self._share < self._last_asked:
            self._share = self._asked.least(now)
        burst = self._rate * _BURST_S
        self._tokens = min(burst, self._tokens + elapsed * self._rate * _PACE_PART)
        while self._recent and self._recent[0][0] <= now - _WINDOW_S:
            _, size, uncovered = self._recent.popleft()
            self._recent_bytes -= size
            self._uncovered_bytes -= uncovered
