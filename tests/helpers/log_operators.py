"""Operators of a fleet of processes: they store and read notes throughout, and a checker examines all responses.

The checker knows the responses alone, nothing of the program:

| invariant | requests |
| --- | --- |
| a note that was answered 200 is at every node at the end, at one index | POST |
| an id that was answered only 503 or 409 is nowhere | POST |
| every stored id was requested, and each is listed once, the same at all nodes | the lists at the end |
| a note requested after another's 200 has the higher index | POST |
| a read requested after a note's 200 finds it | GET |
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
RESPONSE_TIMEOUT_S = 15.0  # longer than the program's own time limit
PAUSE_S = 0.03
MAX_ATTEMPTS = 5


@dataclass(frozen=True)
class OperatorCall:
    """One request and its response. Times in seconds of the monotonic clock."""

    node: str
    method: str
    note_id: str
    began: float
    ended: float
    status: int | None  # None: no response
    body: bytes
    index: int


async def call(node: NodeProcess, method: str, path: str, body: bytes = b"") -> http1.Message | None:
    """The response to a request at the operators' address; None: the connection broke, or the time was over."""
    writer = None
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
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
    """Sends operators' requests to the nodes and records the responses."""

    def __init__(self, processes: Processes) -> None:
        self.processes = processes
        self.calls: list[OperatorCall] = []
        self.violations: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._connections = asyncio.Semaphore(3)  # the operators' address allows few connections and closes the oldest

    # Requests

    async def keep(self, node: str, note_id: str) -> OperatorCall:
        """Stores the note at a node."""
        return await self._call(node, "POST", note_id, f"why {note_id}".encode())

    async def read(self, node: str, note_id: str) -> OperatorCall:
        """Reads the note at a node."""
        return await self._call(node, "GET", note_id)

    async def _call(self, node: str, method: str, note_id: str, body: bytes = b"") -> OperatorCall:
        began = monotonic()
        status, index, response_body = None, 0, b""
        try:
            response = await call(self.processes.nodes[node], method, PATH + note_id, body)
            if response is not None:
                status, response_body, index = response.status, response.body, int(response.fields.get(b"index", b"0"))
        finally:  # a request that was cancelled was sent all the same
            self.calls.append(
                call_made := OperatorCall(node, method, note_id, began, monotonic(), status, response_body, index)
            )
        return call_made

    async def keep_until_confirmed(self, node: str, note_id: str, timeout_s: float = 15.0) -> OperatorCall:
        """Repeats the request with the same id until it is answered 200. Raises AssertionError when time is over."""
        end = monotonic() + timeout_s
        while True:
            call_made = await self.keep(node, note_id)
            if call_made.status == 200:
                return call_made
            if monotonic() > end:
                raise AssertionError(f"{note_id} not confirmed at {node} within {timeout_s:g} s: {call_made}")
            await asyncio.sleep(PAUSE_S)

    def begin(self, names: tuple[str, ...]) -> None:
        """Starts sending requests to each of these nodes, one after another, while its process is running."""
        self._tasks = [asyncio.create_task(self._send_requests(name)) for name in names]

    async def _send_requests(self, name: str) -> None:
        node, number = self.processes.nodes[name], 0
        while True:
            if node.alive and not node.paused:
                number += 1
                await self.keep(name, f"{name}.{number}")
                known = [
                    call_made.note_id
                    for call_made in self.calls
                    if call_made.method == "POST" and call_made.status == 200
                ]
                if known:
                    await self.read(name, known[(7 * number) % len(known)])
            await asyncio.sleep(PAUSE_S)

    async def end(self) -> None:
        """Stops sending; raises the first error of a sender."""
        for task in self._tasks:
            task.cancel()
        for ended in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(ended, Exception):
                raise ended

    # The checker

    async def check(self, names: tuple[str, ...]) -> None:
        """Checks all invariants after all faults have ended. Raises AssertionError with the violations."""
        for name in names:  # after this every node follows the current leader, so reads are answered
            await self.keep_until_confirmed(name, f"last.{name}")
        notes_by_node: dict[str, dict[str, tuple[int, bytes]]] = {}
        for name in names:
            notes_by_node[name] = await self._all_notes(name)
        self._check_end(notes_by_node)
        self._check_order()
        if self.violations:
            raise AssertionError("\n".join(self.violations[:20]))

    async def _all_notes(self, name: str) -> dict[str, tuple[int, bytes]]:
        response = await call(self.processes.nodes[name], "GET", PATH)
        assert response is not None and response.status == 200, f"list at {name}: {response}"
        listed = json.loads(response.body)
        times = Counter(each["id"] for each in listed)
        self.violations += [
            f"{note_id} is listed {count} times at {name}" for note_id, count in times.items() if count > 1
        ]
        texts = await asyncio.gather(*(self._read_text(name, each["id"]) for each in listed))
        return {each["id"]: (each["index"], text) for each, text in zip(listed, texts, strict=True)}

    async def _read_text(self, name: str, note_id: str) -> bytes:
        async with self._connections:
            for _ in range(MAX_ATTEMPTS):  # only a missing response is retried, never a wrong one
                response = await call(self.processes.nodes[name], "GET", PATH + note_id)
                if response is not None:
                    break
        if response is None or response.status != 200:
            self.violations.append(f"{note_id} is listed at {name} and read as {response and response.status}")
            return b""
        return response.body

    def _check_end(self, notes_by_node: dict[str, dict[str, tuple[int, bytes]]]) -> None:
        statuses_by_id: dict[str, set[int | None]] = {}
        for call_made in self.calls:
            if call_made.method == "POST":
                statuses_by_id.setdefault(call_made.note_id, set()).add(call_made.status)
        first, *other_names = notes_by_node
        for name in other_names:
            if notes_by_node[name] != notes_by_node[first]:
                self.violations.append(
                    f"{name} and {first} differ: {set(notes_by_node[name].items()) ^ set(notes_by_node[first].items())}"
                )
        notes = notes_by_node[first]
        for note_id, statuses in statuses_by_id.items():
            if 200 in statuses and notes.get(note_id, (0, b""))[1] != f"why {note_id}".encode():
                self.violations.append(f"{note_id} was confirmed and is {notes.get(note_id)}")
            if statuses <= {503, 409} and note_id in notes:
                self.violations.append(f"{note_id} was refused and is stored")
        self.violations += [
            f"{note_id} is stored and was not requested" for note_id in notes.keys() - statuses_by_id.keys()
        ]
        for call_made in self.calls:
            if (
                call_made.method == "POST"
                and call_made.status == 200
                and call_made.index != notes.get(call_made.note_id, (0,))[0]
            ):
                self.violations.append(
                    f"{call_made.note_id} was confirmed at {call_made.index}, and is at {notes.get(call_made.note_id)}"
                )

    def _check_order(self) -> None:
        """By time: a request that had ended when another began comes before it."""
        confirmed_at: dict[str, float] = {}
        for call_made in self.calls:
            if call_made.method == "POST" and call_made.status == 200:
                confirmed_at[call_made.note_id] = min(
                    confirmed_at.get(call_made.note_id, call_made.ended), call_made.ended
                )
        first_calls: dict[str, OperatorCall] = {}
        for call_made in sorted(self.calls, key=lambda call_made: call_made.began):
            if (
                call_made.method == "GET"
                and call_made.status == 404
                and confirmed_at.get(call_made.note_id, 1e18) < call_made.began
            ):
                self.violations.append(
                    f"{call_made.note_id} was confirmed, and not found at {call_made.node} afterwards"
                )
            if call_made.method == "POST":
                first_calls.setdefault(call_made.note_id, call_made)
        confirmed = [call_made for call_made in first_calls.values() if call_made.status == 200]
        by_end = sorted(confirmed, key=lambda call_made: call_made.ended)
        next_end, highest = 0, 0
        for call_made in sorted(confirmed, key=lambda call_made: call_made.began):
            while next_end < len(by_end) and by_end[next_end].ended < call_made.began:
                highest = max(highest, by_end[next_end].index)
                next_end += 1
            if call_made.index <= highest:
                self.violations.append(
                    f"{call_made.note_id} at {call_made.index} was requested after {highest} was confirmed"
                )

    def count(self, method: str = "POST") -> Counter[int | None]:
        """The number of responses by status."""
        return Counter(call_made.status for call_made in self.calls if call_made.method == method)
