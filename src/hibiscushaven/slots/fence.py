"""Fencing of a VM's own tokens after a pause."""

from .lender import LOAN_TERM_S

__all__ = ["Fence"]


class Fence:
    """Validity of the home tokens, treated as a loan to this VM that each tick renews.

    Explanation
    ===========

    While this process was paused for a loan term or longer, a successor on the same VM may have
    replaced it in the roster. After such a pause the fence is raised and the home tokens are
    void, until the table or a peer confirms in response to a query sent after the pause that
    this incarnation is a member. An isolated VM that was not paused is never fenced.
    """

    def __init__(self) -> None:
        self._valid_until: float | None = None
        self._raised_at: float | None = None
        self._epoch = 0

    @property
    def epoch(self) -> int:
        """Number of times that the fence was raised."""
        return self._epoch

    @property
    def is_raised(self) -> bool:
        return self._raised_at is not None

    @property
    def valid_until(self) -> float:
        return float("-inf") if self._valid_until is None else self._valid_until

    def is_valid(self, now: float) -> bool:
        return now < self.valid_until

    def tick(self, now: float) -> None:
        if self._valid_until is not None and now >= self._valid_until and not self.is_raised:
            self._raised_at = now
            self._epoch += 1
        if not self.is_raised:
            self._valid_until = now + LOAN_TERM_S

    def confirm(self, requested_at: float) -> None:
        """Lower the fence after a response that shows this incarnation as a member.

        :param requested_at: when the query was sent, or the read of the table began; a response to
            a request from before the pause is ignored.
        """
        if self._raised_at is not None and requested_at >= self._raised_at:
            self._raised_at = None
            self._valid_until = requested_at + LOAN_TERM_S
