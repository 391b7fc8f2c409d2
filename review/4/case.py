"""A gateway gets SIGTERM while servers work on answers of which they have sent the head."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from lab import GRACE_S, Connection, configuration, route, run  # noqa: E402

# Site vonohorog-halo-grown: `szereles-bejegyzes` is unsafe, works 2,400 ms in the mean, and has
# 6 s as its Timeout and 12 s as the clients' time limit.
WORK_S = 2.4
TIMEOUT_MS = 6000
LIMIT_S = 12.0
STABLE_S = 4.0
CLIENTS = 6


def export(is_head_first):
    """Return a server's way to answer: the head before the work, or all of it afterwards."""

    async def script(server, request_id, writer):
        content = f"{server.id} {request_id}".encode()
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Seal: s\r\n"
            f"Server-Load: 1,0,9,100\r\nContent-Length: {len(content)}\r\n\r\n"
        ).encode()
        if is_head_first:
            writer.write(head)
        await asyncio.sleep(WORK_S)
        writer.write(content if is_head_first else head + content)
        await writer.drain()
        server.lab.record("target done", server=server.id, id=request_id)

    return script


async def case(lab):
    registrations = route(
        "r", "/p/", "bejegyzo", "unsafe", timeout_ms=TIMEOUT_MS, slo_ms=1500, attempts=2
    )
    lab.operate("config", configuration(1, [registrations], ["bejegyzo"]))
    for number in range(6):
        zone = ("mvd-a", "mvd-b")[number % 2]
        server = lab.add_server(f"i-{number}", "bejegyzo", zone, slots=9)
        server.body_script = export(is_head_first=lab.trouble)
        await server.start()
    await lab.start_gateways()
    await lab.wait_ready()
    stopping = lab.gateways[0]
    await asyncio.sleep(STABLE_S + 1)
    sent = {}

    async def client(number):
        await asyncio.sleep(number * 0.1)
        at = time.monotonic()
        connection = Connection(lab, stopping.host)
        request_id, answer = await connection.send("/p/x", "POST", b"x", limit_s=LIMIT_S)
        sent[request_id] = at, time.monotonic(), answer

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(CLIENTS * 0.1 + 0.2)
    stopping.signal(signal.SIGTERM)
    term_at = time.monotonic()
    try:
        async with asyncio.timeout(GRACE_S):
            await stopping.process.wait()
        lab.record("gateway ended", after_s=round(time.monotonic() - term_at, 2))
    except TimeoutError:
        stopping.signal(signal.SIGKILL)
    await asyncio.gather(*clients)
    started = {request_id: at for server in lab.servers for at, request_id in server.runs}
    lost = [
        (round(at - term_at, 2), round(ended_at - term_at, 2), repr(answer))
        for request_id, (at, ended_at, answer) in sent.items()
        if request_id in started
        and not (answer.why == "complete" and answer.status == 200)
        # Neither the route's Timeout nor the last sixth of Grace had been reached.
        and ended_at - at < TIMEOUT_MS / 1000
        and ended_at - term_at < GRACE_S * 5 / 6
    ]
    return bool(lost), f"(sent, ended) after SIGTERM, with the server at work: {lost}"


run(case, Path(__file__).parent)
