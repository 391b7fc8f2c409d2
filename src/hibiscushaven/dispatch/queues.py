"""Registry of queue policies: which lanes there are and what each may use."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ClassVar, TypeVar

from hibiscushaven.documents import RequestSize

from .items import Item
from .lanes import DeadlineLane, FairLane, FifoLane, Lane

__all__ = ["QUEUES", "QueuePolicy", "queue"]


class QueuePolicy(ABC):
    """The lanes of a dispatcher, in the order in which they are served.

    :cvar is_limiting_long: whether long work is limited to a part of the slots.
    """

    is_limiting_long: ClassVar[bool] = False

    @property
    @abstractmethod
    def lanes(self) -> tuple[Lane, ...]:
        """All lanes, the first to be served first."""

    @abstractmethod
    def lane_of(self, item: Item) -> Lane:
        """Return the lane where an item waits."""

    def __len__(self) -> int:
        return sum(len(lane) for lane in self.lanes)


T = TypeVar("T", bound=type[QueuePolicy])

QUEUES: dict[str, type[QueuePolicy]] = {}


def queue(name: str) -> Callable[[T], T]:
    """Register a queue policy under a name.

    Examples
    ========

    >>> sorted(QUEUES)
    ['class_shares', 'deadline', 'fifo']

    """

    def register(cls: T) -> T:
        if QUEUES.setdefault(name, cls) is not cls:
            raise ValueError(f"queue policy {name!r} is already registered")
        return cls

    return register


class _OneLane(QueuePolicy):
    def __init__(self, lane: Lane) -> None:
        self._lane = lane

    @property
    def lanes(self) -> tuple[Lane, ...]:
        return (self._lane,)

    def lane_of(self, item: Item) -> Lane:
        return self._lane


@queue("fifo")
class FifoQueue(_OneLane):
    """One queue in order of arrival; the baseline."""

    def __init__(self) -> None:
        super().__init__(FifoLane())


@queue("deadline")
class DeadlineQueue(_OneLane):
    """One queue, earliest deadline first."""

    def __init__(self) -> None:
        super().__init__(DeadlineLane())


@queue("class_shares")
class ClassSharesQueue(QueuePolicy):
    """Short and long work apart, long work within a part of the slots."""

    is_limiting_long = True

    def __init__(self) -> None:
        self._short = FairLane()
        self._long = FairLane()

    @property
    def lanes(self) -> tuple[Lane, ...]:
        return (self._short, self._long)

    def lane_of(self, item: Item) -> Lane:
        return self._long if item.size is RequestSize.LONG else self._short
