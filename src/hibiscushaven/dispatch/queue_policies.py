"""Queue policies: into which queues work items go, and which slots each queue may use."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ClassVar, TypeVar

from hibiscushaven.documents import RequestSize

from .items import ItemState
from .wait_queues import DeadlineWaitQueue, FairWaitQueue, FifoWaitQueue, WaitQueue

__all__ = ["QUEUE_POLICIES", "QueuePolicy", "queue_policy"]


class QueuePolicy(ABC):
    """The queues of a dispatcher, in the order in which they are served.

    :cvar is_limiting_long: whether long work is limited to a part of the slots.
    """

    is_limiting_long: ClassVar[bool] = False

    @property
    @abstractmethod
    def queues(self) -> tuple[WaitQueue, ...]:
        """All queues, in the order in which they are served."""

    @abstractmethod
    def queue_for(self, item: ItemState) -> WaitQueue:
        """Return the queue in which an item waits."""

    def __len__(self) -> int:
        return sum(len(queue) for queue in self.queues)


T = TypeVar("T", bound=type[QueuePolicy])

QUEUE_POLICIES: dict[str, type[QueuePolicy]] = {}


def queue_policy(name: str) -> Callable[[T], T]:
    """Register a queue policy under a name.

    Examples
    ========

    >>> sorted(QUEUE_POLICIES)
    ['class_shares', 'deadline', 'fifo']

    """

    def register(cls: T) -> T:
        if QUEUE_POLICIES.setdefault(name, cls) is not cls:
            raise ValueError(f"queue policy {name!r} is already registered")
        return cls

    return register


class _SingleQueuePolicy(QueuePolicy):
    def __init__(self, queue: WaitQueue) -> None:
        self._queue = queue

    @property
    def queues(self) -> tuple[WaitQueue, ...]:
        return (self._queue,)

    def queue_for(self, item: ItemState) -> WaitQueue:
        return self._queue


@queue_policy("fifo")
class FifoPolicy(_SingleQueuePolicy):
    """One queue, first in, first out; the baseline of benchmarks."""

    def __init__(self) -> None:
        super().__init__(FifoWaitQueue())


@queue_policy("deadline")
class DeadlinePolicy(_SingleQueuePolicy):
    """One queue, earliest deadline first."""

    def __init__(self) -> None:
        super().__init__(DeadlineWaitQueue())


@queue_policy("class_shares")
class ClassSharesPolicy(QueuePolicy):
    """Separate fair queues for short and long work; long work may use a part of the slots."""

    is_limiting_long = True

    def __init__(self) -> None:
        self._short = FairWaitQueue()
        self._long = FairWaitQueue()

    @property
    def queues(self) -> tuple[WaitQueue, ...]:
        return (self._short, self._long)

    def queue_for(self, item: ItemState) -> WaitQueue:
        return self._long if item.size is RequestSize.LONG else self._short
