"""The load tool against a server that responds at once: requests per second and core, and the latency that it adds."""

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
    """Responds to every request at once with its id."""

    def request(connection: ServerConnection, message: http1.Message) -> None:
        connection.answer(http1.write_response(200, [], message.fields[b"x-call-id"]))

    async def run() -> None:
        listen_socket = listener()
        await asyncio.get_running_loop().create_server(
            lambda: ServerConnection(request, lambda _: None, lambda _: True), sock=listen_socket
        )
        pipe.send(listen_socket.getsockname()[1])
        await asyncio.sleep(len(RATES) * (SECONDS + 15))

    asyncio.run(run())


if __name__ == "__main__":
    context = multiprocessing.get_context("spawn")
    parent_pipe, child_pipe = context.Pipe()
    server = context.Process(target=serve, args=(child_pipe,))
    server.start()
    port = parent_pipe.recv()
    try:
        for rate in RATES:
            overrides = [f"length_s = {SECONDS}", "fault = []", f"clients.rate_per_s = {rate}"]
            load_scenario = scenario.load_for_load("demo", overrides)
            results = asyncio.run(
                send(planning.plan(load_scenario, 1), [("127.0.0.1", port)], 500, Console(quiet=True))
            )
            machine, send_delay_ms, attempts = (
                results["machine"],
                results["machine"]["sent_late_ms"],
                results["requests"]["tries"],
            )
            print(
                f"requested {rate:5} per second: {attempts / machine['seconds']:6.0f} sent, "
                f"{machine['cpu_s'] / attempts * 1e6:4.0f} us of CPU per request; "
                f"sent late {send_delay_ms['p50']:.2f} ms p50, {send_delay_ms['p99']:.2f} ms p99; responses after "
                f"{results['metrics']['p50_ms']:.2f} ms p50, {results['metrics']['p99_ms']:.2f} ms p99"
            )
    finally:
        server.terminate()
        server.join()
