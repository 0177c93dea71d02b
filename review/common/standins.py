"""Small stand-ins for the platform around a sidecar: discovery, endpoints, clients, and the sidecar's own process.

They use the standard library only, listen on loopback, and do what the operators' pages allow and no more.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
Reader, Writer = asyncio.StreamReader, asyncio.StreamWriter
EMPTY_LINE_S = 2.0  # discovery sends an empty line this often while nothing changes
MAX_LINE = 1 << 20


def now_ms() -> float:
    """Milliseconds of the monotonic clock."""
    return time.monotonic() * 1000.0


def free_port() -> int:
    """A port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def reset(writer: Writer) -> None:
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Record:
    """What was sent, answered and run, in the order of the test's clock; written to `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._started_ms = now_ms()
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)

    def __call__(self, who: str, what: str, **fields: Any) -> None:
        """Writes one line."""
        said = " ".join(f"{name}={value}" for name, value in fields.items())
        line = f"{now_ms() - self._started_ms:10.1f} {who:<12} {what} {said}".rstrip() + "\n"
        os.write(self._file, line.encode())


@dataclass
class Message:
    """A request or an answer in HTTP/1.1."""

    start: str
    fields: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: Reader) -> Message | None:
    """The next head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return Message(start, fields)


class CutOffError(Exception):
    """A message has begun and its connection ended before its last byte."""


async def read_message(reader: Reader) -> Message | None:
    """The next message with its body; None if the connection ends before it. Raises CutOffError."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.fields.get("transfer-encoding", "").lower() == "chunked":
            pieces = []
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                pieces.append(await reader.readexactly(size))
                await reader.readexactly(2)
            while await reader.readuntil(b"\r\n") != b"\r\n":
                pass
            message.body = b"".join(pieces)
        elif "content-length" in message.fields:
            message.body = await reader.readexactly(int(message.fields["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        raise CutOffError(message.start) from None
    return message


class Discovery:
    """Discovery: whole lists and watches, answered at once."""

    def __init__(self, endpoints: list[dict[str, Any]]) -> None:
        self.index = 1
        self._endpoints = {entry["name"]: entry for entry in endpoints}
        self._watches: set[Writer] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]  # noqa: UP031

    def document(self) -> dict[str, Any]:
        """The whole list."""
        listed = [entry for entry in self._endpoints.values() if entry["status"] != "terminated"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    def change(self, entry: dict[str, Any]) -> None:
        """Adds or replaces an entry and tells it on each watch."""
        self.index += 1
        self._endpoints[entry["name"]] = entry
        line = json.dumps({"index": self.index, "snapshot": False, "endpoints": [entry]}).encode() + b"\n"
        for writer in self._watches:
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        try:
            request = await read_message(reader)
            if request is None:
                return
            line = json.dumps(self.document()).encode() + b"\n"
            if "follow=1" not in request.start:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(line), line))
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line))
            self._watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(EMPTY_LINE_S)
                writer.write(b"1\r\n\n\r\n")
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()

    def close(self) -> None:
        """Stops listening and ends all watches."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._watches):
            writer.transport.abort()


Answer = Callable[["Endpoint", Message, Writer], Awaitable[bool]]


@dataclass(eq=False)
class Endpoint:
    """An endpoint; `answer` writes the answer to a request that has arrived whole, and says whether to go on."""

    name: str
    record: Record
    known_ids: set[str]
    answer: Answer
    zone: str = "a"
    runs: list[tuple[str, str]] = field(default_factory=list)  # id and key, in the order of their starts
    since_ms: float = 0.0
    address: str = ""
    _server: asyncio.Server | None = None
    _readers: dict[Writer, Reader] = field(default_factory=dict)

    def abandoned(self, writer: Writer) -> bool:
        """Whether the sidecar has closed this connection, or ended its sending on it."""
        return writer.transport.is_closing() or self._readers[writer].at_eof()

    async def start(self) -> None:
        """Listens on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=MAX_LINE)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]  # noqa: UP031

    def entry(self, status: str = "in_service") -> dict[str, Any]:
        """The endpoint's entry in discovery's list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": "box",
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._readers[writer] = reader
        with contextlib.suppress(ConnectionError, CutOffError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                call = request.fields.get("x-call-id")
                if call not in self.known_ids:
                    self.record(self.name, "unknown id", id=call)
                    writer.write(b"HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n" % (400 if call else 404))
                    continue
                self.runs.append((call, request.fields.get("idempotency-key", "")))
                self.record(self.name, "runs", id=call, budget=request.fields.get("x-budget"))
                if not await self.answer(self, request, writer):
                    break
        del self._readers[writer]
        writer.close()

    def close(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()


def plain_answer(body: bytes, extra: bytes = b"") -> bytes:
    """A whole answer of 200."""
    return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (extra, len(body), body)


class Sidecar:
    """The project's own program, started by the deploy file's `run` as a process of its own."""

    def __init__(self, record: Record, folder: Path, name: str = "n1", variables: dict[str, str] | None = None) -> None:
        self.record, self.folder, self.name = record, folder, name
        self.port, self.admin_port = free_port(), free_port()
        self._variables = variables or {}
        self.process: asyncio.subprocess.Process | None = None
        self._log = os.open(folder / f"{name}.log", os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    @property
    def pid(self) -> int:
        """Its process id."""
        assert self.process is not None
        return self.process.pid

    async def start(self, discovery: Discovery, settings: dict[str, Any], limits: dict[str, Any] | None = None) -> None:
        """Starts it, and returns when `GET /up` answers 200."""
        temporary = self.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": discovery.address,
            "admin_addr": f"127.0.0.1:{self.admin_port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **(limits or {})},
            "known": discovery.document(),
            "settings": settings,
        }
        path = self.folder / f"{self.name}.{self.admin_port}.json"
        path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environ = {
            **{key: value for key, value in os.environ.items() if not key.startswith(("LB_", "LIMENOTCH_"))},
            "LB_NAME": self.name,
            "LB_LISTEN": config["listen"],
            "LB_DISCOVERY": discovery.address,
            "LB_CONFIG": str(path),
            "LB_ADMIN_ADDR": config["admin_addr"],
            "TMPDIR": str(temporary),
            **self._variables,
        }
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environ, stdout=self._log, stderr=self._log
        )
        self.record(self.name, "started", port=self.port)
        deadline = time.monotonic() + 30.0
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise RuntimeError(f"{self.name} ended with {self.process.returncode} before it was ready")
            with contextlib.suppress(OSError):
                if (await ask(self.port, "/up")).status == 200:
                    self.record(self.name, "ready")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} was not ready in 30 s")

    async def end(self) -> None:
        """Ends it; kills it if it does not end by itself."""
        process = self.process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait(), 8.0)
            except TimeoutError:
                process.kill()
                await process.wait()
        os.close(self._log)


async def ask(port: int, path: str, method: str = "GET", body: bytes = b"") -> Message:
    """One call on a connection of its own. Raises OSError without a whole answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: o\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        answer = await read_message(reader)
    finally:
        writer.close()
    if answer is None:
        raise ConnectionError("no answer")
    return answer


class Client:
    """A client that keeps its connections, sends one request at a time on each, and opens more when all are busy."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._idle: list[tuple[Reader, Writer]] = []

    async def send(self, wire: bytes, wait_s: float, kept_only: bool = False) -> Message | None:
        """The answer; None if none came whole in time. A resting connection that was closed is replaced.

        `kept_only`: no new connection is opened; ConnectionError, with nothing sent, if none is kept.
        """
        while True:
            reused = bool(self._idle)
            if reused:
                reader, writer = self._idle.pop()
                if writer.is_closing() or reader.at_eof():
                    writer.close()
                    continue
            else:
                if kept_only:
                    raise ConnectionError("no connection is kept")
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=MAX_LINE)
                writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                writer.write(wire)
                answer = await asyncio.wait_for(read_message(reader), wait_s)
            except (TimeoutError, CutOffError):
                writer.close()
                return None
            except ConnectionError:
                answer = None
            if answer is None:
                writer.close()
                if reused:
                    continue  # the close crossed the request: sent once more on a new connection
                return None
            if answer.fields.get("connection", "").lower() == "close":
                writer.close()
            else:
                self._idle.append((reader, writer))
            return answer

    def close(self) -> None:
        """Closes the connections."""
        for _, writer in self._idle:
            writer.close()


def request(call: str, cls: str, budget_ms: float, key: str = "", method: str = "", body: bytes = b"") -> bytes:
    """A request as the protocol page has it."""
    method = method or ("POST" if key or body else "GET")
    lines = [
        f"{method} /api HTTP/1.1",
        "Host: origin.svc",
        f"X-Call-Id: {call}",
        f"X-Call-Class: {cls}",
        "X-Caller: acme",
        f"X-Budget: {budget_ms:.0f}m",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def new_id() -> str:
    """An id that no other request has."""
    return os.urandom(8).hex()


def tier_settings(classes: list[dict[str, Any]], zones: tuple[str, ...] = ("a",), **permissions: Any) -> dict[str, Any]:
    """Settings like those of a small deployment."""
    return {
        "balancers": 1,
        "rank": 0,
        "layer": 0,
        "tiers": ["portal"],
        "zones": list(zones),
        "locality": 0,
        "skus": ["box"],
        "classes": classes,
        "tenants": [{"name": "acme", "quota_per_s": 500.0, "share": 1.0}],
        "callers": {"marks_retry": False},
        "registry_mode": "ask",
        "weights": "rough",
        "worth_by": "request",
        "over_share_worth": 0.05,
        "period_ms": 5.0,
        "telemetry": {"fields": ["util", "qps", "latency_ms"], "source": "off"},
        "costs": {"cross_zone": 0.015, "waste": 0.3},
        "permissions": {
            "cancel": True,
            "conn_idle_ms": 60000.0,
            "connect_timeout_ms": 250.0,
            "cpu_us_per_s": 8000,
            "max_attempts": 4,
            "max_open": 20000,
            "max_retry_after_ms": 2000.0,
            "multiplex": 1,
            "parallel_tries": True,
            "probes": False,
            "retry_after": True,
            **permissions,
        },
        "rules": {
            "answer_slack_ms": 20.0,
            "cold_ms": 24000.0,
            "drain_grace_ms": 250.0,
            "fall_multiple": 4.0,
            "must_ask_in_ms": 10000.0,
            "overload_for_ms": 3000.0,
            "start_capacity": 0.12,
        },
    }


def traffic_class(name: str, effect: str, deadline_ms: float = 6000.0, **more: Any) -> dict[str, Any]:
    """One class of requests."""
    return {
        "name": name,
        "effect": effect,
        "dedup_scope": "all",
        "window_ms": 10000.0,
        "target_ms": deadline_ms * 0.4,
        "hard_limit_ms": deadline_ms,
        "late_worth": 0.5,
        "streaming": False,
        "worth": 1.0,
        **more,
    }


def main(case: Callable[[Record, Path, bool], Awaitable[bool]], folder: Path, limit_s: float = 110.0) -> int:
    """Runs a case; the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("test", "begins", trouble=trouble)
    try:
        with tempfile.TemporaryDirectory(prefix="limenotch-review-") as temporary:
            held = asyncio.run(asyncio.wait_for(case(record, Path(temporary), trouble), limit_s))
    except Exception as error:
        record("test", "could not run", error=repr(error))
        print(f"could not run: {error!r}")
        return 2
    record("test", "held" if held else "broken")
    print("the rule held" if held else "the rule was broken; see record.txt")
    return 0 if held else 1
