"""The store comes back from a copy some seconds old, between two configurations."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from lab import APPLY_S, MAX_STRETCH_S, STABLE_S, Connection, configuration, route, run  # noqa: E402

COPY_AGE_S = 5.0
AWAY_S = 1.0
SERVICES = ("galeria", "agenda-web")


def version(number, service):
    return configuration(number, [route("r", "/p/", service)], SERVICES)


async def case(lab):
    lab.operate("config", version(1, "galeria"))
    for service in SERVICES:
        for number in range(3):
            zone = ("mvd-a", "mvd-b")[number % 2]
            await lab.add_server(f"i-{service}-{number}", service, zone).start()
    await lab.start_gateways()
    await lab.wait_ready()
    owner = {server.id: server.service for server in lab.servers}
    sent = {}

    async def client(gateway):
        connection = Connection(lab, gateway.host)
        while True:
            at = time.monotonic()
            request_id, answer = await connection.send("/p/x", limit_s=3.0)
            sent[request_id] = at, gateway.name, answer
            await asyncio.sleep(0.25)

    clients = [asyncio.create_task(client(gateway)) for gateway in lab.gateways]
    await asyncio.sleep(4)
    copy = lab.store.copy()
    lab.record("copy of the store", version=copy[2])
    # The first of two configurations in a row, some seconds after the copy.
    await asyncio.sleep(COPY_AGE_S - 1.0)
    lab.operate("config", version(2, "galeria"))
    await asyncio.sleep(1.0)
    if lab.trouble:
        lab.store.set_mode("down")
        await asyncio.sleep(AWAY_S)
        lab.store.restore(copy)
        lab.store.set_mode("up")
        # What the operator wrote is written again.
        lab.operate("config", version(2, "galeria"))
    else:
        await asyncio.sleep(AWAY_S)
    back_at = time.monotonic()
    await asyncio.sleep(1.0)
    acked_at = lab.operate("config", version(3, "agenda-web"))
    judged_from = max(acked_at + APPLY_S + MAX_STRETCH_S, back_at + 2 * STABLE_S)
    await asyncio.sleep(25)
    for task in clients:
        task.cancel()
    ran_by = {request_id: owner[s.id] for s in lab.servers for _, request_id in s.runs}
    judged = {i: gateway for i, (at, gateway, _) in sent.items() if at > judged_from}
    stale = [gateway for i, gateway in judged.items() if ran_by.get(i) == "galeria"]
    by_gateway = {gateway.name: stale.count(gateway.name) for gateway in lab.gateways}
    lab.record("handled as only r2 allows", judged=len(judged), by_gateway=by_gateway)
    return bool(stale), f"{len(stale)} of {len(judged)} requests run by the old service: {by_gateway}"


run(case, Path(__file__).parent)
