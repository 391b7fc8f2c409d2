"""Rate limits of backend servers that VMs learn from each other."""

import asyncio

from hibiscushaven.placement import RateLimit

from .simulated_region import LoopClock, SimulatedRegion
from .support import make_record

SIZES = {"serra": 17, "vale": 17}
PROCESS = make_record("s1").process_id

# Time after which all VMs should know a change.
SPREAD_S = 1.5


def play(announcements, loss_rate=0.0):
    """Return the limits that the VMs know in the end, with the datagrams of the exchange.

    :param announcements: VM that receives each limit from the server, in order.
    """
    sent = []

    async def scenario(region):
        region.loss_rate = loss_rate
        for name, node in region.nodes.items():
            gossip = node.rate_limit_exchange.gossip
            send = gossip._send
            gossip._send = lambda data, peer, send=send, name=name: (
                sent.append(name),
                send(data, peer),
            )
        for name, per_s in announcements:
            node = region.nodes[name]
            limit = RateLimit(per_s, LoopClock().now())
            if node.picker.rate_limits.update(PROCESS, limit):
                node.rate_limit_exchange.gossip.share_now()
            await asyncio.sleep(SPREAD_S)
        return {node.picker.rate_limits.limit_of(PROCESS) for node in region.nodes.values()}

    return SimulatedRegion.run(SIZES, scenario), sent


def test_all_vms_learn_a_limit_and_its_end():
    """Guards against VMs that avoid a server whose limit has ended, since they do not ask it."""
    limits, _ = play([("serra-0", 6.9)])
    assert {round(limit, 3) for limit in limits} == {6.9}
    limits, _ = play([("serra-0", 6.9), ("vale-3", None)], loss_rate=0.2)
    assert limits == {None}


def test_repeated_limit_causes_no_further_rounds():
    """Guards against VMs that pass on the same limit again and again as a new one."""
    _, sent = play([("serra-0", 6.9)])
    _, sent_on_repetition = play([("serra-0", 6.9)] + [("vale-3", 6.9)] * 4)
    repeats = sum(SIZES.values()) * 4 * SPREAD_S
    assert len(sent_on_repetition) <= len(sent) + 1.2 * repeats


def test_server_that_started_again_has_no_limit():
    """Guards against a limit that outlives the start of the server which announced it."""

    async def scenario(region):
        node = region.nodes["serra-0"]
        node.picker.rate_limits.update(PROCESS, RateLimit(6.9, LoopClock().now()))
        restarted = make_record("s1", started_unix_ms=7)
        region.put_servers([restarted, make_record("s2")])
        await asyncio.sleep(2 * SPREAD_S)
        limits = node.picker.rate_limits
        return limits.limit_of(PROCESS), limits.limit_of(restarted.process_id)

    assert SimulatedRegion.run(2, scenario) == (None, None)
