"""Control messages to peers, sent without waiting."""

import asyncio
import logging

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.membership import OutgoingMessage
from hibiscushaven.peers import Channel, Message, PeerClosedError, PeerHub

__all__ = ["Mail"]

_LOG = logging.getLogger(__name__)
# Messages waiting for one peer; a peer that cannot be reached does not collect more.
_MAX_WAITING = 64


class Mail:
    """Sends control messages; those to a peer that cannot be reached are dropped.

    Every control message is repeated or asked for again by its protocol, so that a dropped
    one costs time only.
    """

    def __init__(self, hub: PeerHub) -> None:
        self._hub = hub
        self._waiting: dict[Endpoint, list[Message]] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}

    def post_all(self, items: tuple[OutgoingMessage, ...]) -> None:
        """Send messages to their peers."""
        for item in items:
            self.post(item.endpoint, item.message)

    def post(self, endpoint: Endpoint, item: Message) -> None:
        """Send a message to a peer."""
        waiting = self._waiting.get(endpoint)
        if waiting is not None:
            if len(waiting) < _MAX_WAITING:
                waiting.append(item)
            return
        link = self._hub.existing_connection(endpoint, Channel.CONTROL)
        if link is not None:
            link.stream.send_nowait(item)
            return
        self._waiting[endpoint] = [item]
        task = asyncio.create_task(self._connect(endpoint))
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connect(self, endpoint: Endpoint) -> None:
        try:
            link = await self._hub.connection(endpoint, Channel.CONTROL)
            for item in self._waiting[endpoint]:
                link.stream.send_nowait(item)
        except PeerClosedError as error:
            _LOG.debug("peer not reached", extra={"peer": str(endpoint), "reason": str(error)})
        finally:
            del self._waiting[endpoint]
