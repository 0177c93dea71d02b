"""Operators of a fleet on the stage: they promise and read throughout, and a checker of all they were told.

The checker knows answers alone, nothing of the program:

| rule | of |
| --- | --- |
| who was told 200 finds the words at every node at the end, at one index | POST |
| an id told only 503 or 409 is nowhere | POST |
| every id kept was asked for, and each is listed once, the same at all nodes | the lists at the end |
| a promise asked for after another's 200 has the higher index | POST |
| a read asked after a promise's 200 finds it | GET |
"""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import dataclass
from time import monotonic

from limenotch.lab.fleet.processes import NodeProcess, Processes
from limenotch.net import http1

PATH = "/fleet/promises/"
ANSWER_S = 15.0  # longer than the program itself waits
PAUSE_S = 0.03
TRIES = 5


@dataclass(frozen=True)
class Told:
    node: str
    method: str
    ident: str
    began: float
    ended: float
    status: int | None  # None: no answer
    body: bytes
    index: int


async def call(node: NodeProcess, method: str, path: str, body: bytes = b"") -> http1.Message | None:
    """None: the connection broke, or nothing came."""
    writer = None
    try:
        async with asyncio.timeout(ANSWER_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", node.admin)
            writer.write(http1.write_request(method.encode(), path.encode(), [(b"Host", b"o")], body))
            parser = http1.ResponseParser()
            while (message := parser.take()) is None:
                data = await reader.read(65536)
                if not data:
                    return None
                parser.feed(data)
            return message
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Operators:
    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        self.told: list[Told] = []
        self.wrong: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._places = asyncio.Semaphore(3)  # the operators' address has few, and the oldest gives way

    # What they do

    async def keep(self, node: str, ident: str) -> Told:
        return await self._call(node, "POST", ident, f"why {ident}".encode())

    async def read(self, node: str, ident: str) -> Told:
        return await self._call(node, "GET", ident)

    async def _call(self, node: str, method: str, ident: str, body: bytes = b"") -> Told:
        began = monotonic()
        status, index, said = None, 0, b""
        try:
            answer = await call(self.processes.nodes[node], method, PATH + ident, body)
            if answer is not None:
                status, said, index = answer.status, answer.body, int(answer.fields.get(b"index", b"0"))
        finally:  # one that is cut short was asked all the same
            self.told.append(told := Told(node, method, ident, began, monotonic(), status, said, index))
        return told

    async def kept(self, node: str, ident: str, within_s: float = 15.0) -> Told:
        """Asked with the same id until it is told 200."""
        end = monotonic() + within_s
        while True:
            told = await self.keep(node, ident)
            if told.status == 200:
                return told
            if monotonic() > end:
                raise AssertionError(f"{ident} not promised at {node} within {within_s:g} s: {told}")
            await asyncio.sleep(PAUSE_S)

    def begin(self, names: tuple[str, ...]) -> None:
        """At each of these, one call after another, as long as its process is there."""
        self._tasks = [asyncio.create_task(self._go_on(name)) for name in names]

    async def _go_on(self, name: str) -> None:
        node, number = self.processes.nodes[name], 0
        while True:
            if node.alive and not node.paused:
                number += 1
                await self.keep(name, f"{name}.{number}")
                known = [told.ident for told in self.told if told.method == "POST" and told.status == 200]
                if known:
                    await self.read(name, known[(7 * number) % len(known)])
            await asyncio.sleep(PAUSE_S)

    async def end(self) -> None:
        for task in self._tasks:
            task.cancel()
        for ended in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(ended, Exception):
                raise ended

    # The checker

    async def check(self, names: tuple[str, ...]) -> None:
        """All is healed. Raises AssertionError with what was wrong."""
        for name in names:  # whoever leads by now, it is heard everywhere: reads are answered then
            await self.kept(name, f"last.{name}")
        found: dict[str, dict[str, tuple[int, bytes]]] = {}
        for name in names:
            found[name] = await self._all(name)
        self._check_end(found)
        self._check_order()
        if self.wrong:
            raise AssertionError("\n".join(self.wrong[:20]))

    async def _all(self, name: str) -> dict[str, tuple[int, bytes]]:
        answer = await call(self.processes.nodes[name], "GET", PATH)
        assert answer is not None and answer.status == 200, f"list at {name}: {answer}"
        listed = json.loads(answer.body)
        times = Counter(each["id"] for each in listed)
        self.wrong += [f"{ident} is listed {count} times at {name}" for ident, count in times.items() if count > 1]
        words = await asyncio.gather(*(self._words(name, each["id"]) for each in listed))
        return {each["id"]: (each["index"], said) for each, said in zip(listed, words, strict=True)}

    async def _words(self, name: str, ident: str) -> bytes:
        async with self._places:
            for _ in range(TRIES):  # no answer says nothing; a wrong one is never asked again
                answer = await call(self.processes.nodes[name], "GET", PATH + ident)
                if answer is not None:
                    break
        if answer is None or answer.status != 200:
            self.wrong.append(f"{ident} is listed at {name} and read as {answer and answer.status}")
            return b""
        return answer.body

    def _check_end(self, found: dict[str, dict[str, tuple[int, bytes]]]) -> None:
        asked: dict[str, set[int | None]] = {}
        for told in self.told:
            if told.method == "POST":
                asked.setdefault(told.ident, set()).add(told.status)
        first, *others = found
        for name in others:
            if found[name] != found[first]:
                self.wrong.append(f"{name} and {first} differ: {set(found[name].items()) ^ set(found[first].items())}")
        kept = found[first]
        for ident, statuses in asked.items():
            if 200 in statuses and kept.get(ident, (0, b""))[1] != f"why {ident}".encode():
                self.wrong.append(f"{ident} was promised and is {kept.get(ident)}")
            if statuses <= {503, 409} and ident in kept:
                self.wrong.append(f"{ident} was refused and is kept")
        self.wrong += [f"{ident} is kept and nobody asked" for ident in kept.keys() - asked.keys()]
        for told in self.told:
            if told.method == "POST" and told.status == 200 and told.index != kept.get(told.ident, (0,))[0]:
                self.wrong.append(f"{told.ident} was promised at {told.index}, and is at {kept.get(told.ident)}")

    def _check_order(self) -> None:
        """By the instant: what had ended when a call began is before it."""
        since: dict[str, float] = {}
        for told in self.told:
            if told.method == "POST" and told.status == 200:
                since[told.ident] = min(since.get(told.ident, told.ended), told.ended)
        firsts: dict[str, Told] = {}
        for told in sorted(self.told, key=lambda told: told.began):
            if told.method == "GET" and told.status == 404 and since.get(told.ident, 1e18) < told.began:
                self.wrong.append(f"{told.ident} was promised, and not found at {told.node} afterwards")
            if told.method == "POST":
                firsts.setdefault(told.ident, told)
        promised = [told for told in firsts.values() if told.status == 200]
        ends = sorted(promised, key=lambda told: told.ended)
        place, highest = 0, 0
        for told in sorted(promised, key=lambda told: told.began):
            while place < len(ends) and ends[place].ended < told.began:
                highest = max(highest, ends[place].index)
                place += 1
            if told.index <= highest:
                self.wrong.append(f"{told.ident} at {told.index} was asked after {highest} was promised")

    def count(self, method: str = "POST") -> Counter[int | None]:
        return Counter(told.status for told in self.told if told.method == method)
