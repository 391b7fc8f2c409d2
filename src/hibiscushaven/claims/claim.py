"""A granted claim and its state transitions."""

from collections.abc import Callable
from enum import StrEnum

from .errors import ClaimExpiredError, ClaimReleasedError, ClaimSentError, ClaimStateError
from .model import ClaimRequest, Holder

__all__ = ["Claim", "ClaimState"]


class ClaimState(StrEnum):
    """State of a granted claim in the process that holds it."""

    GRANTED = "granted"
    SENT = "sent"
    RELEASED = "released"
    COMPLETED = "completed"


class Claim:
    """The right to send one request at most once.

    Explanation
    ===========

    ``mark_sent`` is called just before the first byte is written. It and ``begin_release``
    exclude each other: whichever is called first succeeds. Both run without awaiting, so that no
    other task can run between the check of the state and its change.

    :ivar version: version of the claim's row when the claim was granted.
    """

    def __init__(
        self,
        request: ClaimRequest,
        holder: Holder,
        version: int,
        deadline: float,
        clock: Callable[[], float],
    ) -> None:
        self.request = request
        self.holder = holder
        self.version = version
        self._deadline = deadline
        self._clock = clock
        self._state = ClaimState.GRANTED

    @property
    def state(self) -> ClaimState:
        return self._state

    @property
    def deadline(self) -> float:
        return self._deadline

    def mark_sent(self) -> None:
        """Record that the request is about to be sent.

        :raises ClaimReleasedError: when the claim was released or completed.
        :raises ClaimSentError: when it was sent before.
        :raises ClaimExpiredError: when the deadline has passed. The row of a holder that was
            paused for days may have expired, so the holder must not send.
        """
        if self._state is ClaimState.SENT:
            raise ClaimSentError(f"attempt {self.holder.attempt} was sent before")
        if self._state is not ClaimState.GRANTED:
            raise ClaimReleasedError(f"attempt {self.holder.attempt} is {self._state}")
        if self._clock() >= self._deadline:
            raise ClaimExpiredError(f"attempt {self.holder.attempt} is past its deadline")
        self._state = ClaimState.SENT

    def mark_refused(self) -> None:
        """Record that the backend server reported that it did not run the request.

        The holder may then send it again, or release the claim.

        :raises ClaimStateError: when the request was not sent.
        """
        if self._state is not ClaimState.SENT:
            raise ClaimStateError(f"attempt {self.holder.attempt} is {self._state}")
        self._state = ClaimState.GRANTED

    def begin_release(self) -> None:
        """Give up the right to send.

        :raises ClaimSentError: when the request may have been sent.
        :raises ClaimReleasedError: when the claim was released before.
        """
        if self._state in (ClaimState.SENT, ClaimState.COMPLETED):
            raise ClaimSentError(f"attempt {self.holder.attempt} is {self._state}")
        if self._state is ClaimState.RELEASED:
            raise ClaimReleasedError(f"attempt {self.holder.attempt} is {self._state}")
        self._state = ClaimState.RELEASED

    def begin_completion(self) -> None:
        """Mark the claim as completed.

        :raises ClaimStateError: when the request was not sent.
        """
        if self._state is not ClaimState.SENT:
            raise ClaimStateError(f"attempt {self.holder.attempt} is {self._state}")
        self._state = ClaimState.COMPLETED
