"""A granted claim and the steps that it allows."""

from collections.abc import Callable
from enum import StrEnum

from .errors import ClaimLateError, ClaimReleasedError, ClaimSentError, ClaimStateError
from .model import ClaimRequest, Holder

__all__ = ["Claim", "ClaimState"]


class ClaimState(StrEnum):
    """State of a claim at its holder."""

    GRANTED = "granted"
    SENT = "sent"
    RELEASED = "released"
    COMPLETED = "completed"


class Claim:
    """The right to send one request, once.

    Explanation
    ===========

    ``mark_sent`` is called just before the first byte is written. It and ``release`` exclude
    each other: whichever is called first decides. Both run without awaiting, so that no other
    task gets between the check and the change.

    :ivar version: version of the claim's row, as written by its holder.
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

        :raises ClaimReleasedError: when release began or the claim is complete.
        :raises ClaimSentError: when it was sent before.
        :raises ClaimLateError: when the deadline has passed; the row of a holder that was
            paused for days may have expired, so it must not send.
        """
        if self._state is ClaimState.SENT:
            raise ClaimSentError(f"attempt {self.holder.attempt} was sent before")
        if self._state is not ClaimState.GRANTED:
            raise ClaimReleasedError(f"attempt {self.holder.attempt} is {self._state}")
        if self._clock() >= self._deadline:
            raise ClaimLateError(f"attempt {self.holder.attempt} is past its deadline")
        self._state = ClaimState.SENT

    def mark_refused(self) -> None:
        """Record that the backend server said that it did not run the request.

        The holder may then send it again, or release the claim.

        :raises ClaimStateError: when the request was not sent.
        """
        if self._state is not ClaimState.SENT:
            raise ClaimStateError(f"attempt {self.holder.attempt} is {self._state}")
        self._state = ClaimState.GRANTED

    def begin_release(self) -> None:
        """Give up the right to send.

        :raises ClaimSentError: when the request may have left.
        :raises ClaimReleasedError: when release began before.
        """
        if self._state in (ClaimState.SENT, ClaimState.COMPLETED):
            raise ClaimSentError(f"attempt {self.holder.attempt} is {self._state}")
        if self._state is ClaimState.RELEASED:
            raise ClaimReleasedError(f"attempt {self.holder.attempt} is {self._state}")
        self._state = ClaimState.RELEASED

    def begin_completion(self) -> None:
        """End the attempt.

        :raises ClaimStateError: when the request was not sent.
        """
        if self._state is not ClaimState.SENT:
            raise ClaimStateError(f"attempt {self.holder.attempt} is {self._state}")
        self._state = ClaimState.COMPLETED
