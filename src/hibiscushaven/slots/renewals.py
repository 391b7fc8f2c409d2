"""Schedule of the loan renewals to each lender."""

from typing import Any

__all__ = ["RENEW_S", "RenewalPlan"]

RENEW_S = 0.4

# Interval while a lender may have more tokens to lend, so that tokens returned by a former owner
# are borrowed soon.
_PENDING_RENEW_S = 0.2


class RenewalPlan:
    """Decides when renewals are sent, from the last one sent to each lender."""

    def __init__(self) -> None:
        self._sent: dict[str, tuple[float, tuple[Any, ...]]] = {}

    def is_due(
        self, now: float, lender: str, items: tuple[Any, ...], has_more_to_lend: bool
    ) -> bool:
        """Return whether a renewal has to be sent now.

        :param has_more_to_lend: whether the lender may have more tokens to lend.
        """
        if lender not in self._sent:
            return True
        sent_at, sent = self._sent[lender]
        return items != sent or now - sent_at >= (_PENDING_RENEW_S if has_more_to_lend else RENEW_S)

    def record(self, now: float, lender: str, items: tuple[Any, ...]) -> None:
        self._sent[lender] = (now, items)
        self._sent = {key: entry for key, entry in self._sent.items() if now - entry[0] < 60}
