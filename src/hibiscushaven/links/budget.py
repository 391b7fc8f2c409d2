"""Byte budget of one VM on the link between two regions."""

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum

from hibiscushaven.shifts.window import WindowMin

__all__ = [
    "BULK_FRACTION",
    "FIXED_FRACTION",
    "SHARE_INCREASE_DELAY_S",
    "LinkBudget",
    "Reservation",
    "TrafficClass",
    "fixed_share",
    "share_per_user",
]

# Fraction of the VM's share above which bulk traffic is refused, so that short transfers
# always find capacity.
BULK_FRACTION = 0.8

# Fraction of the cap that is divided equally among all VMs, whether they use the link or not.
# A VM that has just started or is isolated uses only this fixed share, so that all VMs
# together stay within the cap. The rest is divided among the VMs that use the link.
FIXED_FRACTION = 0.5

# Delay before an increased share takes effect. Other VMs may not yet know that the number of
# users changed: digests take up to 1 s each way, and a VM counts as down after 2 s.
SHARE_INCREASE_DELAY_S = 4.0

# Pacing of body chunks by a token bucket. Rate and burst together stay below the share in any
# window of 1 s, which leaves capacity for one chunk that overdraws the bucket.
_PACING_FRACTION = 0.85
_BURST_S = 0.1

_WINDOW_S = 1.0
_BYTES_PER_MBIT = 125_000


class TrafficClass(StrEnum):
    """Kind of traffic that transferred bytes are accounted to."""

    SHORT = "short"
    BULK = "bulk"


def fixed_share(vm_count: int) -> float:
    """Return the fraction of a link's cap that every VM has at all times.

    :param vm_count: maximum number of VMs that may use the link.
    """
    return FIXED_FRACTION / vm_count


def share_per_user(vm_count: int, user_count: int) -> float:
    """Return the fraction of a link's cap for each VM that uses the link.

    Examples
    ========

    >>> share_per_user(vm_count=20, user_count=5)
    0.125

    """
    return fixed_share(vm_count) + (1.0 - FIXED_FRACTION) / max(1, user_count)


@dataclass(slots=True, eq=False)
class Reservation:
    """Bandwidth reserved for the predicted bytes of a long body.

    :ivar bytes_per_s: reserved rate, the predicted bytes over the predicted duration.
    """

    traffic_class: TrafficClass
    predicted_bytes: int
    bytes_per_s: float
    sent_bytes: int = 0
    is_settled: bool = field(default=False)


class LinkBudget:
    """Bytes that this VM may transfer over one link, both directions together.

    Explanation
    ===========

    The rate in use is the sum of the open reservations' rates and of the last second's bytes
    that no reservation covers, or all bytes of the last second if they are more. Short
    traffic is admitted while the rate in use is within this VM's share, bulk traffic while
    it is within 80% of the share. Each traffic class may use what the other leaves.

    Bytes beyond a reservation's prediction count as they are transferred, and a reservation
    that is settled early is released at once. ``charge`` returns the delay before the next
    chunk, so that the transferred bytes stay within the share whatever was predicted.

    :param cap_mbit_s: cap of the link, both directions together.
    :param vm_count: maximum number of VMs that may use the link.
    """

    def __init__(self, cap_mbit_s: float, vm_count: int) -> None:
        self._cap_bytes_per_s = cap_mbit_s * _BYTES_PER_MBIT
        self._vm_count = vm_count
        self._share = fixed_share(vm_count)
        self._requested_shares = WindowMin(SHARE_INCREASE_DELAY_S)
        self._requested_share = self._share
        self._reservations: dict[Reservation, None] = {}
        self._recent_transfers: deque[tuple[float, int, int]] = deque()
        self._recent_bytes = 0
        self._uncovered_bytes = 0
        self._tokens = self._share_bytes_per_s * _BURST_S
        self._now = float("-inf")

    @property
    def share(self) -> float:
        """Fraction of the link's cap that this VM may use."""
        return self._share

    @property
    def bytes_per_s(self) -> float:
        """Bytes a second that this VM may transfer."""
        return self._share_bytes_per_s

    def set_cap(self, now: float, cap_mbit_s: float) -> None:
        """Change the link's cap, as after an edit of the document."""
        self._advance(now)
        self._cap_bytes_per_s = cap_mbit_s * _BYTES_PER_MBIT

    def set_user_count(self, now: float, user_count: int | None) -> None:
        """Set the number of VMs that use the link, this one included.

        A smaller share applies at once, a larger one after ``SHARE_INCREASE_DELAY_S``.

        :param user_count: ``None`` if this VM is isolated and cannot know the number.
        """
        self._advance(now)
        share = fixed_share(self._vm_count)
        if user_count is not None:
            share = share_per_user(self._vm_count, user_count)
        self._requested_shares.add(now, self._requested_share)
        self._requested_shares.add(now, share)
        self._requested_share = share
        self._share = self._requested_shares.minimum(now)

    def utilization(self, now: float) -> float:
        """Return the fraction of this VM's share that is in use."""
        self._advance(now)
        return (
            self._used_bytes_per_s() / self._share_bytes_per_s
            if self._share_bytes_per_s > 0
            else 1.0
        )

    def admit(
        self, now: float, size: int, traffic_class: TrafficClass = TrafficClass.SHORT
    ) -> bool:
        """Return whether the bytes of a short exchange are within the limit; if so, count them."""
        self._advance(now)
        if self._used_bytes_per_s() + size / _WINDOW_S > self._limit_bytes_per_s(traffic_class):
            return False
        self._record(size, size)
        return True

    def reserve(
        self,
        now: float,
        size: int,
        duration_s: float,
        traffic_class: TrafficClass = TrafficClass.BULK,
    ) -> Reservation | None:
        """Reserve the predicted bytes of a long body, or return ``None`` to refuse it.

        :param duration_s: predicted duration of the transfer; at least 1 s is assumed.
        """
        self._advance(now)
        bytes_per_s = size / max(_WINDOW_S, duration_s)
        if self._used_bytes_per_s() + bytes_per_s > self._limit_bytes_per_s(traffic_class):
            return None
        reservation = Reservation(traffic_class, size, bytes_per_s)
        self._reservations[reservation] = None
        return reservation

    def charge(self, now: float, reservation: Reservation, size: int) -> float:
        """Count transferred bytes of a body; return the delay before the next chunk, in seconds.

        Bytes beyond the prediction count towards the rate in use like those of short traffic.
        """
        self._advance(now)
        before = max(reservation.sent_bytes, reservation.predicted_bytes)
        reservation.sent_bytes += size
        excess = size if reservation.is_settled else max(0, reservation.sent_bytes - before)
        self._record(size, excess)
        pace = self._share_bytes_per_s * _PACING_FRACTION
        return max(0.0, -self._tokens / pace) if pace > 0 else 0.0

    def settle(self, now: float, reservation: Reservation, transferred_bytes: int) -> None:
        """Release a reservation when its body ends, complete or not.

        :param transferred_bytes: all bytes of the body; those not yet charged are counted now.
        """
        self._advance(now)
        uncharged = transferred_bytes - reservation.sent_bytes
        if uncharged > 0:
            self.charge(now, reservation, uncharged)
        reservation.is_settled = True
        self._reservations.pop(reservation, None)

    @property
    def _share_bytes_per_s(self) -> float:
        return self._cap_bytes_per_s * self._share

    def _limit_bytes_per_s(self, traffic_class: TrafficClass) -> float:
        return self._share_bytes_per_s * (
            BULK_FRACTION if traffic_class is TrafficClass.BULK else 1.0
        )

    def _used_bytes_per_s(self) -> float:
        reserved = sum(item.bytes_per_s for item in self._reservations)
        return max(reserved + self._uncovered_bytes / _WINDOW_S, self._recent_bytes / _WINDOW_S)

    def _record(self, size: int, uncovered: int) -> None:
        self._tokens -= size
        self._recent_transfers.append((self._now, size, uncovered))
        self._recent_bytes += size
        self._uncovered_bytes += uncovered

    def _advance(self, now: float) -> None:
        if now <= self._now:
            return
        elapsed = min(now - self._now, _WINDOW_S)
        self._now = now
        if self._share < self._requested_share:
            self._share = self._requested_shares.minimum(now)
        burst = self._share_bytes_per_s * _BURST_S
        self._tokens = min(
            burst, self._tokens + elapsed * self._share_bytes_per_s * _PACING_FRACTION
        )
        while self._recent_transfers and self._recent_transfers[0][0] <= now - _WINDOW_S:
            _, size, uncovered = self._recent_transfers.popleft()
            self._recent_bytes -= size
            self._uncovered_bytes -= uncovered
