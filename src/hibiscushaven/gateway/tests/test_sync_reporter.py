"""Metrics and log lines of how a VM keeps its data up to date."""

import asyncio
import json
import logging

from hibiscushaven.gateway import GatewayNode
from hibiscushaven.logs import configure_logging
from hibiscushaven.metrics import Metrics
from hibiscushaven.metrics.exposition import to_text

from .support import make_node, make_operator


def test_failed_pull_is_counted_and_logged_under_its_own_vm():
    """Guards against lines about a peer that appear to be written by that peer."""
    metrics, lines = Metrics(), []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(json.loads(handler.format(record)))
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    configure_logging("info", "json", "vm-1", handler)
    try:
        asyncio.run(_fail_pull(make_node("vm-1", metrics=metrics)))
    finally:
        root.handlers[:] = handlers
        root.setLevel(level)
    failed, late = [item for item in lines if "peer" in item]
    assert failed["message"] == "cannot fetch changes from VM"
    assert (failed["vm"], failed["peer"]) == (late["vm"], late["peer"]) == ("vm-1", "vm-2")
    assert (late["operator_version"], late["newest_operator_version"], late["rank"]) == (10, 20, 0)
    assert 'sync_pulls_total{class="failed"} 1' in to_text(metrics)


async def _fail_pull(node: GatewayNode) -> None:
    async def pull(*arguments):
        raise TimeoutError

    node._adopt_operator(make_operator(10), "test")
    node._transport.pull = pull
    peer = make_node("vm-2")
    peer._adopt_operator(make_operator(20), "test")
    node.view.on_state(node._clock.now(), peer._state())
    node._newest_operator_version = 20
    await node._puller.pull_from("vm-2", "127.0.0.1:9")


def test_age_and_version_of_the_data_are_exposed():
    """Guards against an old configuration that the metrics do not show."""

    async def main():
        metrics = Metrics()
        node = make_node(metrics=metrics)
        node._adopt_operator(make_operator(10, configuration=7), "test")
        node._reader.confirm_operator(node._clock.now() - 2.5)
        node._step(node._clock.now())
        return to_text(metrics)

    text = asyncio.run(main())
    assert "configuration_version 7" in text
    assert "operator_state_age_seconds 2.5" in text
