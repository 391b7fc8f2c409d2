"""One gateway of a region is frozen for some seconds while servers leave."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from lab import Connection, configuration, route, run  # noqa: E402

# Bounds of the site mehndi-uy-grown.
STABLE_S = 4.0
DRAIN_S = 3.0

FREEZE_S = 4.0
GATEWAYS = 18
SERVERS = 9
LEAVING = 3


async def case(lab):
    lab.operate("config", configuration(1, [route("r", "/p/", "galeria")], ["galeria"]))
    for number in range(SERVERS):
        zone = ("mvd-a", "mvd-b")[number % 2]
        await lab.add_server(f"i-{number}", "galeria", zone, work_s=0.1).start()
    await lab.start_gateways()
    await lab.wait_ready(40)
    sent = {}

    async def client(gateway):
        connection = Connection(lab, gateway.host)
        while True:
            request_id, _ = await connection.send("/p/x", limit_s=12.0)
            sent[request_id] = gateway
            await asyncio.sleep(0.25)

    clients = [asyncio.create_task(client(gateway)) for gateway in lab.gateways]
    await asyncio.sleep(STABLE_S + 2)
    frozen = lab.gateways[0]
    frozen_at = time.monotonic()
    if lab.trouble:
        frozen.signal(signal.SIGSTOP)
    await asyncio.sleep(0.2)
    acked = {}
    # These servers don't report that they drain; they go on serving for some seconds.
    for server in lab.servers[:LEAVING]:
        server.remove()
        acked[server.id] = time.monotonic()
        await asyncio.sleep(0.1)
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if lab.trouble:
        frozen.signal(signal.SIGCONT)
    await asyncio.sleep(5.0)
    for task in clients:
        task.cancel()
    # Only requests that other gateways took and sent on: these have been in touch all the time.
    late = [
        (server.id, round(at - acked[server.id], 2), sent[request_id].name)
        for server in lab.servers[:LEAVING]
        for at, request_id in server.runs
        if at - acked[server.id] > DRAIN_S and sent.get(request_id, frozen) is not frozen
    ]
    for item in late:
        lab.record("late request", server=item[0], after_s=item[1], gateway=item[2])
    for gateway in lab.gateways:
        for line in gateway.log_lines():
            if '"backend servers changed"' in line and '"expiring": 0' not in line:
                lab.record("gateway log", line=line[:400])
    span = f", {min(s for _, s, _ in late)} to {max(s for _, s, _ in late)} s" if late else ""
    gateways = len({name for _, _, name in late})
    return bool(late), (
        f"{len(late)} requests at servers that are gone{span} after the ack, from {gateways} of"
        f" {GATEWAYS - 1} gateways that were not frozen"
    )


run(
    case,
    Path(__file__).parent,
    zones=[("mvd-a", "mvd-b")[number % 2] for number in range(GATEWAYS)],
)
