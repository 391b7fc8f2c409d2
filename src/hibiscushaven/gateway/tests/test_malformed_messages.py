"""Messages of other VMs that are valid but for one value."""

import asyncio

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.fleet import (
    CrashReport,
    DomainBroadcast,
    LeavingReport,
    LinkReport,
    MessageError,
    RateLimitReport,
    RegionDigest,
    VmState,
    token_of,
)
from hibiscushaven.fleet.messages import decode, encode
from hibiscushaven.gateway import ServerListing
from hibiscushaven.process.tests.support import VirtualClock

from .support import make_node, make_operator, make_record

TOKEN = token_of("s1")
PROCESS = "s1/1000"
STATE = VmState(
    "vm-2",
    1,
    1,
    "serra",
    "serra-a",
    "10.0.0.2:80",
    "127.0.0.1:9",
    operator_version=6,
    in_progress={TOKEN: 1},
    lost_server_ages_s={TOKEN: 0.1},
    slowness={TOKEN: (100, 0.1)},
)
MESSAGES = (
    STATE,
    RegionDigest("serra", "vm-2", 1, 1, {TOKEN: 1}, {TOKEN: 2.0}, {1: 2}, 0.2, "127.0.0.1:9"),
    RegionDigest("vale", "vm-9", 1, 1, {TOKEN: 1}, {TOKEN: 2.0}),
    CrashReport({"f": [(PROCESS, 1.0, 0.5)]}, {"f": 0.5}),
    RateLimitReport({PROCESS: 3.0}, {PROCESS: 0.5}),
    LeavingReport({PROCESS: 0.5}),
    LinkReport({"vm-2": 0.5}, {"vm-3": 0.1}),
    DomainBroadcast(encode(STATE)),
)
# Numbers at the limits of the types, alone and in the mappings of the messages.
NUMBERS = st.sampled_from(
    [0, 0.0, 1, -1, 2**31, 2**63 - 1, 2**63, -(2**63), 1e12, -1e12, 3e38, -3e38, 1e300, -1e300]
)
VALUES = (
    NUMBERS
    | st.sampled_from(["", "x" * 300, "10.0.0.1:80", True, None, b"x", [], {}])
    | st.dictionaries(st.sampled_from([TOKEN, -1, PROCESS, "vm-2", ""]), NUMBERS, max_size=2)
    | st.builds(lambda pair: {TOKEN: pair}, st.tuples(NUMBERS, NUMBERS))
    | st.builds(lambda pair: {"f": [(PROCESS, *pair)]}, st.tuples(NUMBERS, NUMBERS))
)


def encode_with(message, place, value):
    """Return a message as a datagram with another value in one place."""
    items = msgpack.unpackb(encode(message), strict_map_key=False)
    items[2 + place % (len(items) - 2)] = value
    return msgpack.packb(items)


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
@given(place=st.integers(0, 30), value=VALUES)
def test_message_with_any_value_does_not_end_the_steps_of_a_node(message, place, value):
    """Guards against one message after which a VM sends no states any more."""

    async def main():
        clock = VirtualClock()
        node = make_node(clock=clock)
        record = make_record("s1", started_unix_ms=1000)
        node._adopt_operator(make_operator(5), "store")
        node._on_listing(ServerListing(10, (record,)), 0.5)
        try:
            received = decode(encode_with(message, place, value))
        except MessageError:
            return
        node._on_message(received)
        node._on_message(STATE)
        for _ in range(3):
            clock.time += 0.2
            node._step(clock.now())
        await node._puller.close()

    asyncio.run(main())
