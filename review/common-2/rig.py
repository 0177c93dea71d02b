"""Stand-ins and process control that the cases of this review share: standard library only, loopback only."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 110.0

PORT_LOUIS: dict[str, Any] = {
    "balancers": 1,
    "callers": {"marks_retry": False},
    "classes": [
        {
            "name": "tm-lookup",
            "effect": "idempotent",
            "dedup_scope": "all",
            "target_ms": 2000.0,
            "hard_limit_ms": 5000.0,
            "window_ms": 5000.0,
            "late_worth": 0.2,
            "worth": 3.0,
            "streaming": False,
        },
        {
            "name": "deliver-doc",
            "effect": "deduplicated",
            "dedup_scope": "zone",
            "target_ms": 2500.0,
            "hard_limit_ms": 6000.0,
            "window_ms": 10000.0,
            "late_worth": 0.5,
            "worth": 2.0,
            "streaming": False,
        },
    ],
    "costs": {"cross_zone": 0.015, "waste": 0.3, "probe": 0.06, "late_fail": 0.068},
    "layer": 0,
    "locality": 0,
    "over_share_worth": 0.05,
    "permissions": {
        "cancel": True,
        "conn_idle_ms": 60000.0,
        "connect_timeout_ms": 250.0,
        "cpu_us_per_request": 0.0,
        "cpu_us_per_s": 8000,
        "max_attempts": 4,
        "max_open": 20000,
        "max_retry_after_ms": 2000.0,
        "multiplex": 1,
        "parallel_tries": True,
        "peers": False,
        "probes": True,
        "retry_after": True,
    },
    "rank": 0,
    "registry_mode": "ask",
    "rules": {
        "answer_slack_ms": 20.0,
        "cold_ms": 24000.0,
        "drain_grace_ms": 250.0,
        "fall_multiple": 4.0,
        "must_ask_in_ms": 10000.0,
        "overload_for_ms": 3000.0,
        "start_capacity": 0.12,
    },
    "service_type": "chain",
    "skus": ["portal-fast", "portal-std", "portal-old"],
    "telemetry": {"fields": ["util", "qps", "latency_ms"], "source": "inline"},
    "tenants": [{"name": "sugar-board", "quota_per_s": 95.0, "share": 0.6}],
    "tiers": ["portal", "workflow", "memory-store"],
    "weights": "rough",
    "worth_by": "request",
    "zones": ["port-louis", "ebene", "curepipe", "rose-hill"],
}


def free_port() -> int:
    """A port of the loopback address that nobody listens on now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Record:
    """The lines of `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.begun = time.monotonic()
        self._file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115

    def __call__(self, *words: object) -> None:
        """Adds a line."""
        print(f"{time.monotonic() - self.begun:9.3f}", *words, file=self._file, flush=True)


class Head:
    """A parsed head of a message: its start line and header fields by lower-case name."""

    def __init__(self, raw: bytes) -> None:
        first, *lines = raw.decode("latin-1").split("\r\n")
        self.words = first.split(" ", 2)
        self.fields = {
            name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines if line)
        }


async def read_head(reader: asyncio.StreamReader) -> Head:
    """The next head. Raises asyncio.IncompleteReadError at the end of the connection."""
    return Head((await reader.readuntil(b"\r\n\r\n"))[:-4])


async def read_body(reader: asyncio.StreamReader, head: Head, to_end: bool = False) -> bytes:
    """The body after `head`; `to_end`: without a length it lasts to the end of the connection."""
    if head.fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
        return b"".join(parts)
    if "content-length" in head.fields:
        return await reader.readexactly(int(head.fields["content-length"]))
    return await reader.read() if to_end else b""


class Call:
    """A request that an endpoint has received whole."""

    def __init__(self, endpoint: Endpoint, head: Head, body: bytes, writer: asyncio.StreamWriter) -> None:
        self.endpoint, self.head, self.body, self.writer = endpoint, head, body, writer
        self.id = head.fields.get("x-call-id", "")
        self.at = time.monotonic()

    def answer(self, body: bytes = b"", status: str = "200 OK", extra: str = "") -> None:
        """Writes a whole answer with a load report."""
        report = self.endpoint.report()
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{report}{extra}\r\n"
        self.writer.write(head.encode() + body)

    def reset(self) -> None:
        """Resets the connection."""
        self.writer.transport.abort()


Handler = Callable[[Call], Awaitable[None]]


class Endpoint:
    """A server of the tier: reads whole requests and passes each to its handler, which answers."""

    def __init__(self, name: str, record: Record, zone: str = "port-louis", kind: str = "portal-std") -> None:
        self.name, self.record, self.zone, self.kind = name, record, zone, kind
        self.status, self.since_ms, self.group = "in_service", 0, 1
        self.port = 0
        self.calls: list[Call] = []
        self.service_s = 0.02
        self.util = 0.3
        self.qps = 30.0
        self.handler: Handler | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def report(self) -> str:
        """The load report's header line."""
        return (
            f"X-Load-Report: TEXT util={self.util:.2f}, qps={self.qps:.0f}, latency_ms={self.service_s * 1000:.0f}\r\n"
        )

    async def start(self, port: int = 0) -> None:
        """Listens; on the port of before if it is started again."""
        self._server = await asyncio.start_server(self._serve, HOST, port or self.port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Ends as a process that dies: new connections are refused, open ones reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                call = Call(self, head, await read_body(reader, head), writer)
                if not call.id:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.calls.append(call)
                self.record("run", self.name, call.id, head.words[0], len(call.body))
                if self.handler is not None:
                    await self.handler(call)
                else:
                    await asyncio.sleep(self.service_s)
                    call.answer(f"{self.name} {call.id}".encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def entry(self) -> dict[str, Any]:
        """Its entry in discovery's list."""
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "type": self.kind,
            "group": self.group,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }


class Discovery:
    """The discovery service: the whole list, and watches with an empty line every 2 s."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, *endpoints: Endpoint) -> None:
        """Lists the endpoints and listens."""
        self.entries = {endpoint.name: endpoint.entry() for endpoint in endpoints}
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def change(self, *endpoints: Endpoint) -> None:
        """The endpoints' entries are as they say now, which all watches are told."""
        self.index += 1
        for endpoint in endpoints:
            entry = endpoint.entry()
            self._changes.append((self.index, entry))
            self.record("listed", entry["name"], entry["status"], entry["since_ms"])
            if entry["status"] == "terminated":
                self.entries.pop(endpoint.name, None)
            else:
                self.entries[endpoint.name] = entry
        line = self._line(False, [endpoint.entry() for endpoint in endpoints])
        for writer in self._watches:
            writer.write(line)

    def _line(self, snapshot: bool, entries: list[dict[str, Any]]) -> bytes:
        text = json.dumps({"index": self.index, "snapshot": snapshot, "endpoints": entries}).encode() + b"\n"
        return b"%x\r\n%b\r\n" % (len(text), text)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await read_head(reader)
            target = head.words[1]
            whole = list(self.entries.values())
            if "follow=1" not in target:
                body = json.dumps({"index": self.index, "snapshot": True, "endpoints": whole}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                return
            since = int(target.partition("since=")[2].partition("&")[0] or 0)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if 0 < since <= self.index:
                writer.write(self._line(False, [entry for index, entry in self._changes if index > since]))
            else:
                writer.write(self._line(True, whole))
            self._watches.add(writer)
            while True:
                await asyncio.sleep(2.0)
                if writer in self._watches:  # else it has been made silent
                    writer.write(b"1\r\n\n\r\n")
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()


def run_command() -> str:
    """The deploy file's command that starts one sidecar."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


class Rig:
    """What one case starts: a folder for temporary files and the sidecars' processes; `close` ends them all."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self._numbers = itertools.count(1)

    def configuration(
        self, discovery: int, listen: int, settings: dict[str, Any], known: list[dict[str, Any]] | None = None
    ) -> dict[str, Any]:
        """A sidecar's configuration."""
        raw: dict[str, Any] = {
            "name": "n1",
            "listen": f"{HOST}:{listen}",
            "discovery": f"{HOST}:{discovery}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
        }
        if known is not None:
            raw["known"] = {"index": 1, "snapshot": True, "endpoints": known}
        return raw

    def write(self, name: str, raw: object) -> Path:
        """Writes a JSON file in the temporary folder, replacing it whole."""
        path = self.folder / name
        beside = self.folder / f"{name}.new"
        beside.write_text(json.dumps(raw))
        os.replace(beside, path)
        return path

    def start(
        self, config: Path, tmpdir: Path, admin: int = 0, settings: Path | None = None
    ) -> subprocess.Popen[bytes]:
        """Starts a sidecar with the deploy file's command."""
        raw = json.loads(config.read_text())
        tmpdir.mkdir(exist_ok=True)
        environ = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "LIMENOTCH"))}
        environ |= {
            "LB_CONFIG": str(config),
            "LB_NAME": raw["name"],
            "LB_LISTEN": raw["listen"],
            "LB_DISCOVERY": raw["discovery"],
            "TMPDIR": str(tmpdir),
        }
        if admin:
            environ["LB_ADMIN_ADDR"] = f"{HOST}:{admin}"
        if settings is not None:
            environ["LIMENOTCH_SETTINGS"] = str(settings)
        number = next(self._numbers)
        log = open(self.folder / f"sidecar-{number}.log", "wb")  # noqa: SIM115
        process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environ, stdout=log, stderr=log)
        log.close()
        self.processes.append(process)
        self.record("started sidecar", number, "pid", process.pid)
        return process

    def close(self) -> None:
        """Ends every process that this case started, and removes the temporary folder."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def get(port: int, path: str, method: str = "GET", body: bytes = b"", wait_s: float = 5.0) -> tuple[int, bytes]:
    """One call on a connection of its own; 0 as the status if there is no answer."""
    writer = None
    try:
        async with asyncio.timeout(wait_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            length = f"Content-Length: {len(body)}\r\n" if body or method != "GET" else ""
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: s\r\n{length}\r\n".encode() + body)
            head = await read_head(reader)
            return int(head.words[1]), await read_body(reader, head, to_end=True)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


async def wait_up(port: int, process: subprocess.Popen[bytes], path: str = "/up", wait_s: float = 20.0) -> bool:
    """Waits for 200 at `path`; False if the process ends or the time is over."""
    until = time.monotonic() + wait_s
    while time.monotonic() < until and process.poll() is None:
        if (await get(port, path, wait_s=1.0))[0] == 200:
            return True
        await asyncio.sleep(0.02)
    return False


NUMBERS = itertools.count(1)


def new_id(prefix: str = "c") -> str:
    """An id that no request had before."""
    return f"{prefix}{os.getpid():x}-{next(NUMBERS)}"


def request(
    call_id: str, name: str = "tm-lookup", budget_ms: int = 5000, body: bytes | None = None, **more: str
) -> bytes:
    """A request of a client; `more`: further header fields, `_` for `-`."""
    fields = {"Host": "origin.svc", "X-Call-Id": call_id, "X-Call-Class": name, "X-Caller": "sugar-board"}
    fields["X-Budget"] = f"{budget_ms}m"
    fields |= {key.replace("_", "-"): value for key, value in more.items()}
    method = "GET" if body is None else "POST"
    if body is not None:
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
    return f"{method} /api HTTP/1.1\r\n{lines}\r\n".encode() + (body or b"")


class Client:
    """A client that keeps its connection, and opens another one when that has ended."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def call(self, wire: bytes, wait_s: float = 8.0) -> tuple[int, bytes]:
        """Sends a request, and returns status and body; 0: the connection ended without a whole answer; -1: none."""
        try:
            async with asyncio.timeout(wait_s):
                if self.writer is None or self.reader is None or self.reader.at_eof():
                    self.close()
                    self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
                self.writer.write(wire)
                head = await read_head(self.reader)
                body = await read_body(self.reader, head, to_end=True)
                if "close" in head.fields.get("connection", "").lower():
                    self.close()
                return int(head.words[1]), body
        except TimeoutError:
            self.close()
            return -1, b""
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return 0, b""

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def main(folder: Path, case: Callable[[Rig], Awaitable[int]]) -> None:
    """Runs a case, within its time, and exits with its result; 2 if it couldn't run."""

    async def limited(rig: Rig) -> int:
        async with asyncio.timeout(LIMIT_S):
            return await case(rig)

    rig = Rig(folder)
    code = NOT_RUN
    try:
        code = asyncio.run(limited(rig))
    except Exception as error:
        rig.record("could not run:", type(error).__name__, error)
    finally:
        rig.close()
    verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code]
    rig.record("verdict:", verdict)
    print(verdict)
    sys.exit(code)
