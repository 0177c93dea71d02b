"""A second answer that comes some milliseconds late is given to the client of the next request."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import rig as r  # noqa: E402

LATE_S = 0.015  # "some milliseconds"
SPOILT = 20  # each endpoint answers one request in so many a second time
LOAD_S = 25.0
CLIENTS = 16
PAUSE_S = 0.12  # mean of a client between an answer and its next request: some tens of requests a second


async def case(rig: r.Rig) -> int:  # noqa: C901
    """Three endpoints, a dozen clients; each answer names the request that it was made for."""
    rnd = random.Random(6)
    loop = asyncio.get_running_loop()
    endpoints = [r.Endpoint(f"s-{number}", rig.record) for number in range(3)]
    spoilt = 0

    async def answer(call: r.Call) -> None:
        nonlocal spoilt
        await asyncio.sleep(rnd.uniform(0.02, 0.04))
        body = f"answer to {call.id}".encode()
        call.answer(body)

        def answer_again() -> None:
            if not call.writer.is_closing():
                call.answer(body)

        if r.TROUBLE and len(call.endpoint.calls) % SPOILT == 0:
            spoilt += 1
            rig.record("second answer", call.endpoint.name, call.id)
            loop.call_later(LATE_S, answer_again)

    for endpoint in endpoints:
        endpoint.handler = answer
        await endpoint.start()
    discovery = r.Discovery(rig.record)
    await discovery.start(*endpoints)
    port = r.free_port()
    config = rig.write("config.json", rig.configuration(discovery.port, port, r.PORT_LOUIS))
    process = rig.start(config, rig.folder / "tmp")
    if not await r.wait_up(port, process):
        return r.NOT_RUN
    until = time.monotonic() + LOAD_S
    asked = served = foreign = 0

    async def use() -> None:
        nonlocal asked, served, foreign
        client = r.Client(port)
        while time.monotonic() < until:
            call_id = r.new_id()
            asked += 1
            status, body = await client.call(r.request(call_id))
            rig.record("answered", call_id, status, body)
            served += status == 200
            if status == 200 and body != f"answer to {call_id}".encode():
                foreign += 1
                rig.record("FOREIGN", call_id, "got", body)
            await asyncio.sleep(rnd.expovariate(1 / PAUSE_S))
        client.close()

    await asyncio.gather(*(use() for _ in range(CLIENTS)))
    rig.record(f"{asked} requests, {served} served, {spoilt} second answers, {foreign} foreign bodies served")
    print(f"{asked} requests, {served} served, {spoilt} second answers, {foreign} foreign bodies served")
    if served < asked / 2 or (r.TROUBLE and not spoilt):
        return r.NOT_RUN
    return r.BROKEN if foreign else r.HELD


r.main(HERE, case)
