"""Sidecar processes of a rehearsal: unchanged `limenotch serve`, each with a configuration file of its own."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from random import SystemRandom
from typing import Any

START_S = 20.0  # a busy machine may start dozens of them at once
MAX_PORT_ATTEMPTS = 5  # another program may take a port that was free
STOP_S = 10.0


class SidecarError(Exception):
    """A sidecar could not be started; the text has the end of its log."""


PORTS = range(12_000, 32_000)  # below the ephemeral ports of kernels
_ports = SystemRandom().sample(PORTS, len(PORTS))


def free_port() -> int:
    """A port that is free now for streams and for datagrams, each time another one.

    The kernel could give an ephemeral port to a connection before its owner listens, or while the owner restarts.
    """
    while True:
        port = _ports.pop()
        _ports.insert(0, port)
        with socket.socket() as stream, socket.socket(type=socket.SOCK_DGRAM) as datagram:
            try:
                stream.bind(("127.0.0.1", port))
                datagram.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class SidecarProcess:
    """A sidecar process, owned by the rehearsal; `end` waits for its end."""

    def __init__(
        self,
        name: str,
        folder: Path,
        settings: dict[str, Any],
        directory_port: int,
        seed: int,
        known: dict[str, Any],
        log_form: str = "json",
    ) -> None:
        self.name, self._folder, self._log_form = name, folder, log_form
        self._config = {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{directory_port}",
            "seed": f"{seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known,
            "settings": settings,
        }
        self.port = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.expected_end = False

    @property
    def log(self) -> Path:
        return self._folder / f"{self.name}.log"

    def choose_port(self) -> int:
        """The port to listen on; called again if another program has taken the port since."""
        return free_port()

    def command(self) -> list[str]:
        """The arguments of the interpreter."""
        return ["-m", "limenotch", "serve", "--log", self._log_form]

    def environment(self) -> dict[str, str]:
        """Further environment variables."""
        return {}

    def spawn(self) -> None:
        """Starts the process on a port that is free now."""
        self.port = self.choose_port()
        self._config["listen"] = f"127.0.0.1:{self.port}"
        config = self._folder / f"{self.name}.json"
        config.write_text(json.dumps(self._config), encoding="utf-8")
        environ = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environ.update(LB_CONFIG=str(config), PYTHONUNBUFFERED="1", **self.environment())
        root = str(Path(__file__).resolve().parents[3])
        environ["PYTHONPATH"] = os.pathsep.join(part for part in (root, environ.get("PYTHONPATH")) if part)
        with self.log.open("ab") as log:
            # In its own process group, so Ctrl-C reaches only the rehearsal, which then ends its sidecars.
            self.process = subprocess.Popen(
                [sys.executable, *self.command()],
                env=environ,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )

    async def ready(self) -> None:
        """Waits until `GET /up` answers 200. Raises SidecarError."""
        loop = asyncio.get_running_loop()
        end = loop.time() + START_S
        attempts_left = MAX_PORT_ATTEMPTS
        while loop.time() < end:
            assert self.process is not None
            code = self.process.poll()
            if code is not None:
                attempts_left -= 1
                if code != 1 or not attempts_left:
                    raise SidecarError(f"sidecar {self.name} ended with {code}: {self._log_tail()}")
                self.spawn()  # another program took the port
            elif await self._up():
                return
            await asyncio.sleep(0.05)
        raise SidecarError(f"sidecar {self.name} was not ready within {START_S:g} s: {self._log_tail()}")

    async def _up(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
            return (await asyncio.wait_for(reader.read(64), 2.0)).startswith(b"HTTP/1.1 200")
        except (TimeoutError, OSError):
            return False
        finally:
            writer.close()

    def _log_tail(self) -> str:
        try:
            return self.log.read_text(errors="replace").strip()[-500:] or "nothing in its log"
        except OSError:
            return "no log"

    @property
    def crashed(self) -> bool:
        return self.process is not None and self.process.poll() is not None and not self.expected_end

    def kill(self) -> None:
        """Kills the process, as the death of its machine does."""
        self.expected_end = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()

    def memory_kb(self) -> int:
        """Resident memory in KiB; 0 if the process does not run."""
        try:
            with open(f"/proc/{self.process.pid if self.process else 0}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") // 1024
        except (OSError, IndexError, ValueError):
            return 0

    def terminate(self) -> None:
        self.expected_end = True
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)

    def end(self) -> int | None:
        """Waits for the end of the process, which is killed after STOP_S; returns its exit code."""
        self.expected_end = True
        if self.process is None:
            return None
        try:
            return self.process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()
