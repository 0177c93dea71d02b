"""A long answer that stops for a second after its first piece is cut off, although the endpoint still gives it."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common.standins import (
    Client,
    Discovery,
    Endpoint,
    Message,
    Record,
    Sidecar,
    Writer,
    main,
    new_id,
    plain_answer,
    request,
    tier_settings,
    traffic_class,
)

SEED = 1
RATE, SPAN_S = 20.0, 20.0  # requests a second, seconds
LONG_SHARE = 0.2  # of the answers
LONG_BYTES = (128 * 1024, 1024 * 1024)
SHORT_BYTES = 2000
FIRST_PIECE = 16 * 1024
PAUSE_S = 1.0  # between the first piece and the rest
DEADLINE_MS = 6000.0
WORK_S = (0.03, 0.08)


@dataclass
class Call:
    """One request: its class, the body made for it, and whether the sidecar cut its answer off."""

    cls: str
    body: bytes
    cut_off: bool = False


class Case:
    """Six endpoints, one sidecar, and clients; one answer in five is long, and comes in two pieces."""

    def __init__(self, record: Record, folder: Path, trouble: bool) -> None:
        self.record, self.trouble = record, trouble
        self.random_work, self.random_calls = random.Random(SEED), random.Random(SEED + 1)
        self.known: set[str] = set()
        self.calls: dict[str, Call] = {}
        self.served = self.lost = 0
        self.endpoints = [Endpoint(f"s{number}", record, self.known, self.answer) for number in range(6)]
        self.sidecar = Sidecar(record, folder)

    async def answer(self, endpoint: Endpoint, message: Message, writer: Writer) -> bool:
        """Gives an answer; a long one stops for PAUSE_S after its first piece."""
        call_id = message.fields["x-call-id"]
        call = self.calls[call_id]
        await asyncio.sleep(self.random_work.uniform(*WORK_S))
        wire = plain_answer(call.body)
        if self.trouble and len(call.body) > SHORT_BYTES:
            writer.write(wire[:FIRST_PIECE])
            self.record(endpoint.name, "gives the first piece", id=call_id, size=len(call.body))
            await asyncio.sleep(PAUSE_S)
            wire = wire[FIRST_PIECE:]
            if endpoint.abandoned(writer):
                call.cut_off = True
                self.record(endpoint.name, "is cut off", id=call_id)
                return False
        writer.write(wire)
        await writer.drain()
        self.record(endpoint.name, "has given all", id=call_id)
        return True

    def new_call(self) -> tuple[str, Call]:
        """A request of either class, with a short or a long answer."""
        call_id = new_id()
        cls = self.random_calls.choice(("tm-lookup", "deliver-doc"))
        is_long = self.random_calls.random() < LONG_SHARE
        size = self.random_calls.randint(*LONG_BYTES) if is_long else SHORT_BYTES
        call = self.calls[call_id] = Call(cls, (call_id.encode() * (size // len(call_id) + 1))[:size])
        self.known.add(call_id)
        return call_id, call

    async def send(self, client: Client) -> None:
        """One request of a client; notes whether it was lost because its answer was cut off."""
        call_id, call = self.new_call()
        wire = request(call_id, call.cls, DEADLINE_MS, body=b"a document" if call.cls == "deliver-doc" else b"")
        sent_at = time.monotonic()
        response = await client.send(wire, DEADLINE_MS / 1000 + 4)
        spent_s = time.monotonic() - sent_at
        status = response.status if response is not None else None
        whole = response is not None and status == 200 and response.body == call.body
        self.record("client", "answer", id=call_id, cls=call.cls, status=status, whole=whole, s=f"{spent_s:.2f}")
        self.served += whole
        if whole or spent_s >= DEADLINE_MS / 1000:
            return
        await asyncio.sleep(PAUSE_S + 0.5)  # until the endpoint has come to the rest, and sees that it is cut off
        if call.cut_off:
            self.lost += 1
            self.record("client", "LOST, its answer was cut off", id=call_id, cls=call.cls, status=status)

    async def send_all(self) -> None:
        """Sends all requests, and awaits their answers."""
        client = Client(self.sidecar.port)
        arrivals = random.Random(SEED + 2)
        sending = []
        for _ in range(int(RATE * SPAN_S)):
            sending.append(asyncio.create_task(self.send(client)))
            await asyncio.sleep(arrivals.expovariate(RATE))
        await asyncio.gather(*sending)
        client.close()

    async def run(self) -> bool:
        """Returns whether no request was lost because an answer was cut off that its endpoint still gave."""
        for endpoint in self.endpoints:
            await endpoint.start()
        discovery = Discovery([endpoint.entry() for endpoint in self.endpoints])
        await discovery.start()
        classes = [
            traffic_class("tm-lookup", "idempotent", DEADLINE_MS),
            traffic_class("deliver-doc", "at_most_once", DEADLINE_MS),
        ]
        try:
            await self.sidecar.start(discovery, tier_settings(classes))
            await self.send_all()
        finally:
            await self.sidecar.end()
            for each in (discovery, *self.endpoints):
                each.close()
        total = int(RATE * SPAN_S)
        self.record("test", "counted", requests=total, served=self.served, lost=self.lost)
        print(f"{total} requests, {self.served} served whole, {self.lost} lost because their answer was cut off")
        if self.served < total / 2:
            raise RuntimeError("too few requests were served")
        return self.lost == 0


async def play(record: Record, folder: Path, trouble: bool) -> bool:
    """Plays the case."""
    return await Case(record, folder, trouble).run()


if __name__ == "__main__":
    sys.exit(main(play, Path(__file__).resolve().parent))
