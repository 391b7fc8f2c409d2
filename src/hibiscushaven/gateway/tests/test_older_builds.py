"""A VM beside one of an older build, which sends and compares the bare numbers of the store."""

import pytest

from hibiscushaven.eras import version_of
from hibiscushaven.fleet import RegionDigest, VmState
from hibiscushaven.fleet.messages import decode, draw_incarnation, encode
from hibiscushaven.gateway import ServerListing
from hibiscushaven.process.tests.support import VirtualClock

from .support import make_node, make_operator, make_record
from .test_node import run_in_loop

OLDER_INCARNATION = 2**31 - 1


def receive(node, incarnation, version):
    """Let a node receive a state and a digest of the VM that would read the store before it."""
    fields = {"operator_version": version, "servers_version": version}
    ages = {"operator_age_s": 0.25, "servers_age_s": 0.25}
    addresses = ("10.0.0.2:80", "127.0.0.1:9")
    state = VmState("vm-0", incarnation, 1, "serra", "serra-a", *addresses, **fields, **ages)
    digest = RegionDigest("serra", "vm-0", incarnation, 1, **fields, **ages)
    for message in (state, digest):
        node._on_message(decode(encode(message)))


@pytest.mark.parametrize("era", [0, 1, 2])
@pytest.mark.parametrize("is_older", [True, False])
def test_older_build_confirms_nothing_where_the_store_names_eras(era, is_older):
    """Guards against a region in which nobody reads, since an older build ignores its reads."""

    def scenario():
        node, version = make_node("vm-5", VirtualClock(50.0)), version_of(era, 110)
        node._on_listing(ServerListing(version, (make_record("s1"),)), 0.5)
        node._adopt_operator(make_operator(version), "store")
        receive(node, OLDER_INCARNATION if is_older else draw_incarnation(), version)
        is_confirmed = not (is_older and era)
        assert (node._reader.operator_confirmed_at > 0) is is_confirmed
        assert (node._reader.servers_confirmed_at > 0) is is_confirmed
        assert node._reader_rank(True) == is_confirmed

    run_in_loop(scenario)
