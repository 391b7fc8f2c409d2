"""External dependencies of a node."""

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
    """Clock, randomness and I/O that a node depends on; tests replace the defaults by fakes.

    :ivar new_id: returns a unique id at each call.
    :ivar make_hub: creates the hub of connections to peers, such as :class:`PeerHub`.
    :ivar make_client: creates the client of backend servers. Its argument returns the largest
        number of connections to an address.
    """

    platform: Platform
    clock: Clock = field(default_factory=SystemClock)
    rng: random.Random = field(default_factory=_random_source)
    new_id: Callable[[], str] = _random_id
    make_hub: Callable[..., PeerHub] = PeerHub
    make_client: Callable[[Callable[[Endpoint], int]], BackendClient] = BackendClient
