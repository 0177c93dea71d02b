"""Processes of a fleet: started, stopped, killed and started again at the same address, and what they tell.

A node's folder has its configuration, its log, `tmp/` (its TMPDIR) and `data/` (its disk: `wipe` removes it). What it
tells comes from two places: its log, where each line with `"fleet": true` is a note of the fleet's decisions, and
`GET /fleet` at the operators' address. A note's time is the line's `mono_ms`, CLOCK_MONOTONIC in ms, which is one
clock for all processes of a machine. Nothing here sleeps and hopes: `Processes.until` asks until it holds.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import Any, NamedTuple

from ...net import http1
from ..emulate.sidecars import SidecarProcess, free_port

ASK_S = 2.0  # for one answer at the operators' address
LOOK_S = 0.02  # between two looks
MOST_ANSWER = 4 << 20  # bytes
MOST_LINE = 1 << 20  # bytes of a log's line without an end, beyond which it is dropped
OF_THE_LOG = frozenset({"event", "fleet", "mono_ms", "level", "timestamp", "sidecar", "logger"})


class Seen(NamedTuple):
    """A note as a process logged it. `at_ms` of CLOCK_MONOTONIC."""

    at_ms: float
    node: str
    text: str
    fields: dict[str, Any]


class NotReachedError(Exception):
    """What a test waited for did not come; the text says what was seen instead."""


class Tail:
    """Reads a node's log as it grows; a line that is not whole yet waits for its end."""

    def __init__(self, node: str, path: Path) -> None:
        self._node, self._path = node, path
        self._at = 0
        self._rest = b""
        self.foreign = 0  # lines that are no JSON object, or a note without its time

    def read(self) -> list[Seen]:
        try:
            with self._path.open("rb") as file:
                file.seek(self._at)
                data = file.read()
        except OSError:
            return []
        self._at += len(data)
        *lines, self._rest = (self._rest + data).split(b"\n")
        if len(self._rest) > MOST_LINE:
            self._rest = b""
            self.foreign += 1
        return [seen for line in lines if line.strip() and (seen := self._seen(line)) is not None]

    def _seen(self, line: bytes) -> Seen | None:
        try:
            told = json.loads(line)
        except ValueError:
            told = None
        if not isinstance(told, dict):
            self.foreign += 1
            return None
        if told.get("fleet") is not True:
            return None
        at, text = told.get("mono_ms"), told.get("event")
        if not isinstance(at, (int, float)) or not isinstance(text, str):
            self.foreign += 1
            return None
        return Seen(float(at), self._node, text, {key: told[key] for key in told.keys() - OF_THE_LOG})


class NodeProcess(SidecarProcess):
    """One process at addresses that stay the same, however often it is started."""

    def __init__(
        self,
        name: str,
        folder: Path,
        settings: dict[str, Any],
        directory_port: int,
        seed: int,
        known: dict[str, Any],
        toml: Callable[[NodeProcess], str] | None = None,
        module: str = "limenotch",
    ) -> None:
        """`toml`: gives the text of its settings file, asked at each start; None: it has none. `module`: what is run
        with `serve`: `limenotch.lab.fleet.node` where its disk is to fail.
        """
        home = folder / name
        super().__init__(name, home, settings, directory_port, seed, known)
        self.home, self.data, self._toml, self._module = home, home / "data", toml, module
        self.serving = free_port()
        self.admin = free_port()
        self._config["admin_addr"] = f"127.0.0.1:{self.admin}"
        self.paused = False
        self.starts = 0
        self.environ: dict[str, str] = {}  # more of the environment
        self.tail = Tail(name, self.log)

    def called(self, name: str) -> None:
        """Its process takes this name; two nodes may so have one."""
        self._config["name"] = name

    def choose_port(self) -> int:
        return self.serving

    def command(self) -> list[str]:
        words = ["-m", self._module, "serve", "--log", "json"]
        if self._toml is not None:
            path = self.home / "settings.toml"
            path.write_text(self._toml(self), encoding="utf-8")
            words += ["--settings", str(path)]
        return words

    def environment(self) -> dict[str, str]:
        temporary = self.home / "tmp"
        temporary.mkdir(parents=True, exist_ok=True)
        return {"TMPDIR": str(temporary), **self.environ}

    def spawn(self) -> None:
        if self.alive:
            raise RuntimeError(f"{self.name} is there already")
        self.home.mkdir(parents=True, exist_ok=True)
        self.paused = self.expected_end = False
        self.starts += 1
        super().spawn()

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def know(self, known: dict[str, Any]) -> None:
        """The list of providers that its next start begins with."""
        self._config["known"] = known

    # What befalls it. Each may be told at any time, and does nothing to a process that is not there.

    def pause(self) -> None:
        """SIGSTOP, and until it has stopped: the kernel may let it run on for a moment."""
        if self.process is not None and self.alive:
            self._signal(signal.SIGSTOP)
            os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)
            self.paused = True

    def wake(self) -> None:
        self.paused = False
        if self.alive:
            self._signal(signal.SIGCONT)

    def kill(self) -> None:
        """kill -9, and until it is gone: its addresses are free, its connections reset. A stopped one dies as well."""
        super().kill()
        self.paused = False
        if self.process is not None:
            self.process.wait()

    def wipe(self) -> None:
        """Killed, with its disk: the folder of its data and that of its temporary files."""
        self.kill()
        for folder in (self.data, self.home / "tmp"):
            shutil.rmtree(folder, ignore_errors=True)

    def terminate(self) -> None:
        super().terminate()
        self.wake()  # a stopped process hears nothing

    def _signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    # What it tells

    async def ask(self, path: str = "/fleet", method: str = "GET", body: bytes = b"") -> tuple[int, bytes] | None:
        """Status and body from the operators' address; None if there was no answer within ASK_S."""
        try:
            return await asyncio.wait_for(self._ask(path, method, body), ASK_S)
        except (OSError, TimeoutError, http1.MalformedError):
            return None

    async def _ask(self, path: str, method: str, body: bytes) -> tuple[int, bytes] | None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        try:
            writer.write(http1.write_request(method.encode(), path.encode(), [(b"Host", b"lab")], body))
            parser, size = http1.ResponseParser(), 0
            while (message := parser.take()) is None:
                data = await reader.read(65536)
                size += len(data)
                if not data or size > MOST_ANSWER:
                    return None
                parser.feed(data)
            return message.status, message.body
        finally:
            writer.close()

    async def state(self) -> dict[str, Any] | None:
        """What `GET /fleet` says, or None: no answer, another status, no JSON object."""
        answer = await self.ask()
        if answer is None or answer[0] != 200:
            return None
        try:
            told = json.loads(answer[1])
        except ValueError:
            return None
        return told if isinstance(told, dict) else None


class Processes:
    """Owns the nodes; leaving the block ends all of them, whatever happened in it, those stopped too."""

    def __init__(self) -> None:
        self.nodes: dict[str, NodeProcess] = {}
        self._seen: list[Seen] = []

    def add(self, node: NodeProcess) -> NodeProcess:
        if node.name in self.nodes:
            raise ValueError(f"two nodes called {node.name}")
        self.nodes[node.name] = node
        return node

    async def start(self, names: Iterable[str] | None = None) -> None:
        """Of these, else of all, until each answers `GET /up` with 200. Raises SidecarError."""
        nodes = [self.nodes[name] for name in (self.nodes if names is None else names)]
        for node in nodes:
            node.spawn()
        await asyncio.gather(*(node.ready() for node in nodes))

    def seen(self) -> list[Seen]:
        """All notes of all nodes so far, in order of time."""
        for node in self.nodes.values():
            self._seen += node.tail.read()
        self._seen.sort(key=lambda seen: seen.at_ms)
        return list(self._seen)

    async def until(
        self,
        holds: Callable[[], Awaitable[bool]] | Callable[[], bool],
        within_s: float,
        what: str,
        instead: Callable[[], object] = lambda: "",
    ) -> None:
        """Asks until `holds` does. Raises NotReachedError, whose text has `what`, and `instead()` for what was seen."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within_s
        while True:
            held = holds()
            if held if isinstance(held, bool) else await held:
                return
            if loop.time() >= end:
                raise NotReachedError(f"within {within_s:g} s not reached: {what}. {instead()}")
            await asyncio.sleep(LOOK_S)

    async def until_all(
        self,
        holds: Callable[[str, dict[str, Any]], bool],
        within_s: float,
        what: str,
        names: Iterable[str] | None = None,
    ) -> None:
        """Until `GET /fleet` of each of these, else of all, says what `holds(name, state)` wants, all in one round."""
        asked = list(self.nodes if names is None else names)
        last: dict[str, Any] = {}

        async def round_holds() -> bool:
            states = await asyncio.gather(*(self.nodes[name].state() for name in asked))
            last.update(zip(asked, states, strict=True))
            return all(state is not None and holds(name, state) for name, state in last.items())

        await self.until(round_holds, within_s, what, lambda: json.dumps(last)[:4000])

    async def until_seen(self, text: str, nodes: Iterable[str], within_s: float, since_ms: float = 0.0) -> None:
        """Until each of these has logged a note of this text, not before `since_ms`."""
        wanted = set(nodes)

        def holds() -> bool:
            return wanted <= {seen.node for seen in self.seen() if seen.text == text and seen.at_ms >= since_ms}

        await self.until(
            holds,
            within_s,
            f"{text!r} at {' '.join(sorted(wanted))}",
            lambda: [tuple(seen)[:3] for seen in self.seen()[-40:]],
        )

    async def __aenter__(self) -> Processes:
        return self

    async def __aexit__(self, *about: object) -> None:
        await self.close()

    async def close(self) -> dict[str, int | None]:
        """Ends all: SIGTERM, and kill for what does not end by itself. Exit codes by name; None: it never began."""
        for node in self.nodes.values():
            node.terminate()
        loop = asyncio.get_running_loop()
        codes = await asyncio.gather(*(loop.run_in_executor(None, node.end) for node in self.nodes.values()))
        return dict(zip(self.nodes, codes, strict=True))


def fleet_table(listen: str, addresses: dict[str, str], more: dict[str, Any] | None = None) -> str:
    """The `[fleet]` table as TOML text: its own address, where it finds the others, and other keys and tables."""
    keys: dict[str, Any] = {"listen": listen, **(more or {}), "addresses": addresses}
    plain = {key: value for key, value in keys.items() if not isinstance(value, dict)}
    lines = ["[fleet]", *(f"{key} = {json.dumps(value)}" for key, value in plain.items())]
    for key, table in keys.items():
        if isinstance(table, dict):
            lines += ["", f"[fleet.{key}]", *(f"{json.dumps(name)} = {json.dumps(at)}" for name, at in table.items())]
    return "\n".join(lines) + "\n"
