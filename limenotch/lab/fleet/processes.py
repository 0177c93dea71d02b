"""The processes of a fleet: starts, pauses, kills and restarts them at the same addresses, and reads their state.

A node's folder contains its configuration, its log, `tmp/` (its TMPDIR) and `data/` (its disk, which `wipe` removes).
Observations come from the log, where each line with `"fleet": true` reports a decision of the fleet, and from `GET
/fleet` at the operators' address. The time of a log line is its `mono_ms`, CLOCK_MONOTONIC in ms, which is one clock
for all processes of a machine. Nothing here waits for a fixed time: `Processes.wait_until` polls a condition.
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

REQUEST_TIMEOUT_S = 2.0  # timeout of a request to the operators' address
POLL_INTERVAL_S = 0.02  # polling interval
MAX_RESPONSE_BYTES = 4 << 20
MAX_LINE_BYTES = 1 << 20  # longer incomplete log lines are dropped
STANDARD_KEYS = frozenset({"event", "fleet", "mono_ms", "level", "timestamp", "sidecar", "logger"})


class ObservedLine(NamedTuple):
    """A log line of a process. `at_ms` is CLOCK_MONOTONIC."""

    at_ms: float
    node: str
    text: str
    fields: dict[str, Any]


class NotReachedError(Exception):
    """A condition did not become true in time; the text has the state that was observed instead."""


class LogTail:
    """Reads the new lines of a node's log; an incomplete line waits for its end."""

    def __init__(self, node: str, path: Path) -> None:
        self._node, self._path = node, path
        self._offset = 0
        self._incomplete = b""
        self.invalid_lines = 0  # lines that are not JSON objects, or fleet lines without a time or a text

    def read(self) -> list[ObservedLine]:
        """Returns the fleet's log lines that have been added since the last call."""
        try:
            with self._path.open("rb") as file:
                file.seek(self._offset)
                data = file.read()
        except OSError:
            return []
        self._offset += len(data)
        *lines, self._incomplete = (self._incomplete + data).split(b"\n")
        if len(self._incomplete) > MAX_LINE_BYTES:
            self._incomplete = b""
            self.invalid_lines += 1
        return [observed for line in lines if line.strip() and (observed := self._parse_line(line)) is not None]

    def _parse_line(self, line: bytes) -> ObservedLine | None:
        try:
            parsed = json.loads(line)
        except ValueError:
            parsed = None
        if not isinstance(parsed, dict):
            self.invalid_lines += 1
            return None
        if parsed.get("fleet") is not True:
            return None
        at_ms, text = parsed.get("mono_ms"), parsed.get("event")
        if not isinstance(at_ms, (int, float)) or not isinstance(text, str):
            self.invalid_lines += 1
            return None
        return ObservedLine(float(at_ms), self._node, text, {key: parsed[key] for key in parsed.keys() - STANDARD_KEYS})


class NodeProcess(SidecarProcess):
    """A node: one process at a time, whose addresses are the same at each start."""

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
        """`toml` returns the text of the settings file at each start; None: no such file. `module` is run with `serve`:
        `limenotch.lab.fleet.node` makes disk and clock faults possible.
        """
        home = folder / name
        super().__init__(name, home, settings, directory_port, seed, known)
        self.home, self.data, self._toml, self._module = home, home / "data", toml, module
        self.serving = free_port()
        self.admin = free_port()
        self._config["admin_addr"] = f"127.0.0.1:{self.admin}"
        self.paused = False
        self.starts = 0
        self.environ: dict[str, str] = {}  # additional environment variables
        self.tail = LogTail(name, self.log)

    def set_process_name(self, name: str) -> None:
        """Sets the name of the process; two nodes may have processes of the same name."""
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
            raise RuntimeError(f"{self.name} is already running")
        self.home.mkdir(parents=True, exist_ok=True)
        self.paused = self.expected_end = False
        self.starts += 1
        super().spawn()

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def set_known_endpoints(self, known: dict[str, Any]) -> None:
        """Sets the endpoint list that the process has at its next start."""
        self._config["known"] = known

    # Faults. Each may be called at any time and has no effect if no process runs.

    def pause(self) -> None:
        """Sends SIGSTOP and waits until the process has stopped: the kernel may let it run on for a moment."""
        if self.process is not None and self.alive:
            self._signal(signal.SIGSTOP)
            os.waitid(os.P_PID, self.process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT)
            self.paused = True

    def wake(self) -> None:
        """Sends SIGCONT."""
        self.paused = False
        if self.alive:
            self._signal(signal.SIGCONT)

    def kill(self) -> None:
        """Sends SIGKILL, also to a paused process, and waits for its end, which frees its addresses and connections."""
        super().kill()
        self.paused = False
        if self.process is not None:
            self.process.wait()

    def wipe(self) -> None:
        """Kills the process and removes its disk: the folders of its data and of its temporary files."""
        self.kill()
        for folder in (self.data, self.home / "tmp"):
            shutil.rmtree(folder, ignore_errors=True)

    def terminate(self) -> None:
        super().terminate()
        self.wake()  # a paused process does not handle SIGTERM

    def _signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    # Status

    async def request(self, path: str = "/fleet", method: str = "GET", body: bytes = b"") -> tuple[int, bytes] | None:
        """Returns status and body from the operators' address; None without a response within REQUEST_TIMEOUT_S."""
        try:
            return await asyncio.wait_for(self._request(path, method, body), REQUEST_TIMEOUT_S)
        except (OSError, TimeoutError, http1.MalformedError):
            return None

    async def _request(self, path: str, method: str, body: bytes) -> tuple[int, bytes] | None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.admin)
        try:
            writer.write(http1.write_request(method.encode(), path.encode(), [(b"Host", b"lab")], body))
            parser, size = http1.ResponseParser(), 0
            while (message := parser.take()) is None:
                data = await reader.read(65536)
                size += len(data)
                if not data or size > MAX_RESPONSE_BYTES:
                    return None
                parser.feed(data)
            return message.status, message.body
        finally:
            writer.close()

    async def fleet_status(self) -> dict[str, Any] | None:
        """Returns the response to `GET /fleet`; None without a response of status 200 that is a JSON object."""
        answer = await self.request()
        if answer is None or answer[0] != 200:
            return None
        try:
            parsed = json.loads(answer[1])
        except ValueError:
            return None
        return parsed if isinstance(parsed, dict) else None


class Processes:
    """Owns the nodes; leaving the `async with` block always ends all their processes, paused ones too."""

    def __init__(self) -> None:
        self.nodes: dict[str, NodeProcess] = {}
        self._observed: list[ObservedLine] = []

    def add(self, node: NodeProcess) -> NodeProcess:
        """Adds a node. Raises ValueError if its name is taken."""
        if node.name in self.nodes:
            raise ValueError(f"duplicate node {node.name}")
        self.nodes[node.name] = node
        return node

    async def start(self, names: Iterable[str] | None = None) -> None:
        """Starts these nodes (default: all) and waits until `GET /up` returns 200 at each. Raises SidecarError."""
        nodes = [self.nodes[name] for name in (self.nodes if names is None else names)]
        for node in nodes:
            node.spawn()
        await asyncio.gather(*(node.ready() for node in nodes))

    def observed_lines(self) -> list[ObservedLine]:
        """Returns all fleet log lines of all nodes so far, in order of time."""
        for node in self.nodes.values():
            self._observed += node.tail.read()
        self._observed.sort(key=lambda line: line.at_ms)
        return list(self._observed)

    async def wait_until(
        self,
        holds: Callable[[], Awaitable[bool]] | Callable[[], bool],
        within_s: float,
        condition: str,
        describe_state: Callable[[], object] = lambda: "",
    ) -> None:
        """Polls until `holds()` is true. Raises NotReachedError, whose text has `condition` and `describe_state()`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within_s
        while True:
            result = holds()
            if result if isinstance(result, bool) else await result:
                return
            if loop.time() >= deadline:
                raise NotReachedError(f"not reached within {within_s:g} s: {condition}. {describe_state()}")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_all(
        self,
        holds: Callable[[str, dict[str, Any]], bool],
        within_s: float,
        condition: str,
        names: Iterable[str] | None = None,
    ) -> None:
        """Polls until `holds(name, status)` is true of `GET /fleet` of these nodes (default: all) in one round."""
        polled = list(self.nodes if names is None else names)
        latest: dict[str, Any] = {}

        async def all_hold() -> bool:
            states = await asyncio.gather(*(self.nodes[name].fleet_status() for name in polled))
            latest.update(zip(polled, states, strict=True))
            return all(status is not None and holds(name, status) for name, status in latest.items())

        await self.wait_until(all_hold, within_s, condition, lambda: json.dumps(latest)[:4000])

    async def wait_until_logged(self, text: str, nodes: Iterable[str], within_s: float, since_ms: float = 0.0) -> None:
        """Waits until each of these nodes has logged a line of this text, at or after `since_ms`."""
        wanted = set(nodes)

        def holds() -> bool:
            return wanted <= {
                line.node for line in self.observed_lines() if line.text == text and line.at_ms >= since_ms
            }

        await self.wait_until(
            holds,
            within_s,
            f"{text!r} at {' '.join(sorted(wanted))}",
            lambda: [tuple(line)[:3] for line in self.observed_lines()[-40:]],
        )

    async def __aenter__(self) -> Processes:
        return self

    async def __aexit__(self, *about: object) -> None:
        await self.close()

    async def close(self) -> dict[str, int | None]:
        """Ends all processes: SIGTERM, then SIGKILL. Returns exit codes by name; None: the process never started."""
        for node in self.nodes.values():
            node.terminate()
        loop = asyncio.get_running_loop()
        codes = await asyncio.gather(*(loop.run_in_executor(None, node.end) for node in self.nodes.values()))
        return dict(zip(self.nodes, codes, strict=True))


def fleet_table(listen: str, addresses: dict[str, str], additional: dict[str, Any] | None = None) -> str:
    """Returns the `[fleet]` table as TOML: the own address, the addresses of peers, and other keys and tables."""
    keys: dict[str, Any] = {"listen": listen, **(additional or {}), "addresses": addresses}
    plain = {key: value for key, value in keys.items() if not isinstance(value, dict)}
    lines = ["[fleet]", *(f"{key} = {json.dumps(value)}" for key, value in plain.items())]
    for key, table in keys.items():
        if isinstance(table, dict):
            lines += [
                "",
                f"[fleet.{key}]",
                *(f"{json.dumps(name)} = {json.dumps(entry)}" for name, entry in table.items()),
            ]
    return "\n".join(lines) + "\n"
