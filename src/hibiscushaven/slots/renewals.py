"""When a renewal is sent to each lender."""

from typing import Any

__all__ = ["RENEW_S", "RenewalPlan"]

RENEW_S = 0.4

# A borrower that expects more from a lender asks more often, so that tokens given back by a
# former owner arrive quickly.
_SHORT_S = 0.2


class RenewalPlan:
    """The last renewal sent to each lender."""

    def __init__(self) -> None:
        self._sent: dict[str, tuple[float, tuple[Any, ...]]] = {}

    def is_due(self, now: float, lender: str, items: tuple[Any, ...], is_short: bool) -> bool:
        """Return whether to send now.

        :param is_short: the lender may have more tokens to lend.
        """
        if lender not in self._sent:
            return True
        sent_at, sent = self._sent[lender]
        return items != sent or now - sent_at >= (_SHORT_S if is_short else RENEW_S)

    def note(self, now: float, lender: str, items: tuple[Any, ...]) -> None:
        self._sent[lender] = (now, items)
        self._sent = {key: entry for key, entry in self._sent.items() if now - entry[0] < 60}
