"""Nodes that are not started, with a fake store, on a virtual clock."""

import asyncio

from hibiscushaven.discovery import ServerRecord
from hibiscushaven.eras import era_of
from hibiscushaven.gateway import GatewayNode, GatewayOptions, ServerListing, StoreError
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.process.tests.support import VirtualClock
from hibiscushaven.routing import Configuration, OperatorState, ServiceOptions

REGIONS = {"serra-a": "serra", "vale-a": "vale"}


class FakeStore:
    """In-memory store whose content is set by the test.

    :ivar is_down: whether calls fail.
    :ivar calls: number of calls, failed ones included.
    """

    def __init__(self):
        self.operator = OperatorState()
        self.listing = ServerListing(10, ())
        self.is_down = False
        self.calls = 0

    def _call(self):
        self.calls += 1
        if self.is_down:
            raise StoreError("down")

    async def read_operator(self, known, wait_s):
        self._call()
        await asyncio.sleep(0)
        return self.operator

    async def read_servers(self):
        self._call()
        return self.listing

    async def register(self, address):
        self._call()
        return era_of(self.listing.version)

    async def deregister(self, name):
        self._call()

    async def list_vms(self):
        self._call()
        return ()

    async def close(self):
        pass


def make_record(server_id="s1", **fields):
    return ServerRecord(server_id, "stock", Endpoint("10.0.0.9", 80), "serra-a", 4, **fields)


def make_operator(version, configuration=1, evacuated=()):
    services = {"stock": ServiceOptions("stock", warmup_s=3.0, warmup_per_s=8.0)}
    return OperatorState(version, Configuration(configuration, (), services), frozenset(evacuated))


def make_node(name="vm-1", clock=None, store=None, adopted=None, metrics=None):
    """Return a node that is not started, so that no background task runs.

    :param adopted: list that receives each adopted operator state.
    :param metrics: registry for the node's metrics.
    """
    address = Endpoint("127.0.0.1", 1)
    options = GatewayOptions(name, "serra", "serra-a", REGIONS, address, address, address, address)
    return GatewayNode(
        options,
        store or FakeStore(),
        clock or VirtualClock(),
        (adopted if adopted is not None else []).append,
        dict,
        metrics=metrics,
    )
