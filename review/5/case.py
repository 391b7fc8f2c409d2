"""A gateway gets SIGTERM while the store gives no response; a client asks for exports."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from lab import GRACE_S, Connection, configuration, route, run  # noqa: E402

# Site mehndi-uy-grown: `portfolio` works 2,640 ms in the mean, and has 6 s as its Timeout and 12 s
# as the clients' time limit.
WORK_S = 2.64
TIMEOUT_MS = 6000
LIMIT_S = 12.0
STABLE_S = 4.0
SILENCE_S = 8.0
CLIENTS = 9


async def case(lab):
    exports = route("r", "/p/", "galeria", timeout_ms=TIMEOUT_MS, slo_ms=1500)
    lab.operate("config", configuration(1, [exports], ["galeria"]))
    for number in range(8):
        zone = ("mvd-a", "mvd-b")[number % 2]
        await lab.add_server(f"i-{number}", "galeria", zone, work_s=WORK_S).start()
    await lab.start_gateways()
    await lab.wait_ready()
    stopping = lab.gateways[0]
    sent = {}

    async def client(number):
        # A client goes on with the directory's answer that it has ("some of them three times as
        # long"): it opens a new connection when the gateway closes the one that it has.
        await asyncio.sleep(number * WORK_S / CLIENTS)
        connection = Connection(lab, stopping.host)
        while True:
            at = time.monotonic()
            request_id, answer = await connection.send("/p/x", limit_s=LIMIT_S)
            sent[request_id] = at, time.monotonic(), answer
            if answer.why == "refused":
                await asyncio.sleep(0.2)

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(STABLE_S + 2)
    if lab.trouble:
        lab.store.set_mode("silent")
        asyncio.get_running_loop().call_later(SILENCE_S, lab.store.set_mode, "up")
    stopping.signal(signal.SIGTERM)
    term_at = time.monotonic()
    try:
        async with asyncio.timeout(GRACE_S):
            await stopping.process.wait()
        lab.record("gateway ended", after_s=round(time.monotonic() - term_at, 2))
    except TimeoutError:
        stopping.signal(signal.SIGKILL)
    await asyncio.sleep(1.0)
    for task in clients:
        task.cancel()
    run_at = {request_id: at for server in lab.servers for at, request_id in server.runs}
    lost = []
    for request_id, (at, ended_at, answer) in sent.items():
        was_served = answer.why == "complete" and answer.status == 200
        if was_served or request_id not in run_at or ended_at < term_at:
            continue
        # The page excuses requests sent up to 3 s after SIGTERM whose server was still at work in
        # the last sixth of Grace.
        if at - term_at <= 3.0 and run_at[request_id] + WORK_S >= term_at + GRACE_S * 5 / 6:
            continue
        if ended_at - at >= TIMEOUT_MS / 1000:
            continue
        lost.append((round(at - term_at, 2), round(ended_at - term_at, 2), repr(answer)))
    lab.record("lost", requests=lost)
    return bool(lost), f"(sent, ended) after SIGTERM of requests that were broken off: {lost}"


run(case, Path(__file__).parent)
