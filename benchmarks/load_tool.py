"""The load tool against a server that does nothing: calls a second and core, and the time that it adds by itself."""

from __future__ import annotations

import asyncio
import multiprocessing
from multiprocessing.connection import Connection

from rich.console import Console

from limenotch.cli.lab.load import send
from limenotch.lab import planning, scenario
from limenotch.lab.emulate.wire import ServerConnection, listener
from limenotch.net import http1

RATES = (200, 1000, 2000, 3000, 4000, 5000)
SECONDS = 5


def serve(pipe: Connection) -> None:
    """Answers every call at once with its id."""

    def request(connection: ServerConnection, message: http1.Message) -> None:
        connection.answer(http1.write_response(200, [], message.fields[b"x-call-id"]))

    async def run() -> None:
        sock = listener()
        await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(request, lambda _: None, lambda _: True), sock=sock
        )
        pipe.send(sock.getsockname()[1])
        await asyncio.sleep(len(RATES) * (SECONDS + 15))

    asyncio.run(run())


if __name__ == "__main__":
    context = multiprocessing.get_context("spawn")
    here, there = context.Pipe()
    server = context.Process(target=serve, args=(there,))
    server.start()
    port = here.recv()
    try:
        for rate in RATES:
            over = [f"length_s = {SECONDS}", "fault = []", f"clients.rate_per_s = {rate}"]
            chosen = scenario.load_for_load("demo", over)
            figures = asyncio.run(send(planning.plan(chosen, 1), [("127.0.0.1", port)], 500, Console(quiet=True)))
            machine, late, tries = figures["machine"], figures["machine"]["sent_late_ms"], figures["requests"]["tries"]
            print(
                f"asked {rate:5} a second: {tries / machine['seconds']:6.0f} made, "
                f"{machine['cpu_s'] / tries * 1e6:4.0f} us of CPU a call; "
                f"sent late {late['p50']:.2f} ms p50, {late['p99']:.2f} ms p99; answered after "
                f"{figures['metrics']['p50_ms']:.2f} ms p50, {figures['metrics']['p99_ms']:.2f} ms p99"
            )
    finally:
        server.terminate()
        server.join()
