"""Sends control messages to peers without blocking the sender."""

import asyncio
import logging

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.membership import OutgoingMessage
from hibiscushaven.peers import Channel, Message, PeerClosedError, PeerHub

__all__ = ["ControlSender"]

_LOG = logging.getLogger(__name__)
# Queued messages per peer while its connection is being opened; further messages are dropped.
_MAX_QUEUED = 64


class ControlSender:
    """Sends control messages and drops those to peers that cannot be reached.

    Every protocol that uses it repeats its messages or requests them again, so that a dropped
    message causes only a delay.
    """

    def __init__(self, hub: PeerHub) -> None:
        self._hub = hub
        self._queued: dict[Endpoint, list[Message]] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}

    def post_all(self, messages: tuple[OutgoingMessage, ...]) -> None:
        """Send each message to its peer."""
        for outgoing in messages:
            self.post(outgoing.endpoint, outgoing.message)

    def post(self, endpoint: Endpoint, message: Message) -> None:
        """Send a message to a peer, or queue it until the connection is open."""
        queued = self._queued.get(endpoint)
        if queued is not None:
            if len(queued) < _MAX_QUEUED:
                queued.append(message)
            return
        connection = self._hub.existing_connection(endpoint, Channel.CONTROL)
        if connection is not None:
            connection.stream.send_nowait(message)
            return
        self._queued[endpoint] = [message]
        task = asyncio.create_task(self._connect(endpoint))
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connect(self, endpoint: Endpoint) -> None:
        try:
            connection = await self._hub.connection(endpoint, Channel.CONTROL)
            for message in self._queued[endpoint]:
                connection.stream.send_nowait(message)
        except PeerClosedError as error:
            _LOG.debug(
                "dropped control messages to unreachable peer",
                extra={"peer": str(endpoint), "reason": str(error)},
            )
        finally:
            del self._queued[endpoint]
