"""An entry of another writer in the table of servers, then three servers that leave."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from lab import DRAIN_S, HOST, STABLE_S, Connection, configuration, route, run  # noqa: E402

SERVERS = 12
REQUESTS_PER_S = 4.0

# Entries that name no target: "fields missing or of another type", "bytes that can't be read".
ENTRIES = {
    # A number that no double holds where the page has a whole number of milliseconds.
    "type": b'{"Address":"127.0.0.1:9","Info":{"Service":"galeria","Version":"v1","Zone":"mvd-a",'
    b'"Concurrency":4},"Status":{"State":"ready","Sequence":1,"WarmupLeft":"0ms"},"born":1e999}',
    "bytes": b"[" * 4096,
}


async def case(lab):
    lab.operate("config", configuration(1, [route("r", "/p/", "galeria")], ["galeria"]))
    for number in range(SERVERS):
        zone = ("mvd-a", "mvd-b")[number % 2]
        await lab.add_server(f"i-{number}", "galeria", zone, work_s=0.05).start()
    await lab.start_gateways()
    await lab.wait_ready()
    statuses = []

    async def client(gateway):
        connection = Connection(lab, gateway.host)
        while True:
            _, answer = await connection.send("/p/x", limit_s=3.0)
            statuses.append(answer.status)
            await asyncio.sleep(len(lab.gateways) / REQUESTS_PER_S)

    clients = [asyncio.create_task(client(gateway)) for gateway in lab.gateways]
    await asyncio.sleep(3)
    if lab.trouble:
        lab.store.put("servers", "other", ENTRIES[os.environ.get("ENTRY", "type")])
        lab.record("entry of another writer")
    await asyncio.sleep(STABLE_S + 2)
    leaving = lab.servers[:3]
    acked = {}
    for server in leaving:
        server.drain()
        acked[server.id] = time.monotonic()
    await asyncio.sleep(25)
    for task in clients:
        task.cancel()
    late = [
        (server.id, round(at - acked[server.id], 2))
        for server in leaving
        for at, _ in server.runs
        if at - acked[server.id] > DRAIN_S
    ]
    for server in leaving:
        lab.record("late requests", server=server.id, after_s=[s for i, s in late if i == server.id])
    tails = [line for gateway in lab.gateways for line in gateway.log_lines() if "Error" in line]
    for line in tails[:6]:
        lab.record("gateway log", line=line[:600])
    return bool(late), f"requests later than Drain at leaving servers: {late}; answers: " + str(
        {status: statuses.count(status) for status in sorted(set(statuses), key=str)}
    )


run(case, Path(__file__).parent)
