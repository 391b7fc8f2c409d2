"""What a node uses of the world outside it."""

import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from hibiscushaven.delivery import BackendClient
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import PeerHub
from hibiscushaven.process import Clock, SystemClock
from hibiscushaven.tablestore import Platform

__all__ = ["NodePorts"]


def _random_id() -> str:
    return secrets.token_hex(12)


def _random_source() -> random.Random:
    return random.Random(secrets.randbits(64))


@dataclass(frozen=True, slots=True)
class NodePorts:
    """Ports of a node; tests put fakes in place of the defaults.

    :ivar new_id: returns an id that no other call returns.
    :ivar make_hub: makes the connections to peers, as :class:`PeerHub` does.
    :ivar make_client: makes the client of backend servers, from their connection limits.
    """

    platform: Platform
    clock: Clock = field(default_factory=SystemClock)
    rng: random.Random = field(default_factory=_random_source)
    new_id: Callable[[], str] = _random_id
    make_hub: Callable[..., PeerHub] = PeerHub
    make_client: Callable[[Callable[[Endpoint], int]], BackendClient] = BackendClient
