"""The first step of `serve`: a process waits until the limits have room for it beside those that run already.

Until then it has loaded hardly any module, and takes no more than the others have left for it. If two processes don't
fit into the limits, it stands by (`standby.py`) and goes on when the other one has ended.
"""

from __future__ import annotations

import _signal  # type: ignore[import-not-found]  # not `signal`, which imports `enum`
import os
import time
from collections.abc import Mapping

from .handover_paths import SHARES_SUFFIX, SOCKET_SUFFIX, state_path
from .net.process_shares import ProcessShares
from .net.standby import Inheritance, Standby

ROOM_TIMEOUT_S = 2.0  # for the others to make room: with what follows well within the 6 s that a start may take
CHECK_INTERVAL_S = 0.02
PATH_VARIABLES = ("LB_CONFIG", "LIMENOTCH_SETTINGS", "TMPDIR")
CONFIGURATION_VARIABLES = ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN_ADDR", *PATH_VARIABLES)
KIB = 1024
STANDBY_WORKING_BYTES = 256 * KIB  # that a process on standby takes beyond what it held when it joined


class ProcessStart:
    """What the first step found out, for the components of the process."""

    def __init__(self) -> None:
        self.shares: ProcessShares | None = None  # None: there is no folder in which processes could share anything
        self.inheritance: Inheritance | None = None  # of a predecessor that has ended while this process stood by
        self.standby_bytes = 0  # resident, that a process takes up to this step; 0: not measured
        self.standby_private_bytes = 0  # the same without the pages of files, which all processes share


started = ProcessStart()  # of this process, replaced by `begin`


def status_bytes(name: str) -> int:
    """A size in /proc/self/status (proc_pid_status(5)), in bytes; 0 if the system doesn't tell."""
    prefix = f"{name}:".encode()
    try:
        with open("/proc/self/status", "rb") as status:
            return next(int(line.split()[1]) * KIB for line in status if line.startswith(prefix))
    except (OSError, StopIteration, ValueError):
        return 0


def addresses(environ: Mapping[str, str]) -> tuple[str, str]:
    """HOST:PORT of clients and of operators, from the environment, else from the configuration file; "": not known.

    Nothing is checked: faults of the configuration are told when it is loaded.
    """
    listen, admin = environ.get("LB_LISTEN", ""), environ.get("LB_ADMIN_ADDR", "")
    if listen and admin:
        return listen, admin
    import json  # only here: a fifth of the memory that is taken up to this step

    try:
        with open(environ.get("LB_CONFIG", ""), encoding="utf-8") as file:
            raw = json.load(file)
        return listen or str(raw.get("listen") or ""), admin or str(raw.get("admin_addr") or "")
    except (OSError, ValueError, AttributeError):
        return listen, admin


def split_address(text: str) -> tuple[str, int]:
    """Host and port of HOST:PORT; port 0 if there is none."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port) if port.isascii() and port.isdigit() else 0


def begin(environ: Mapping[str, str], settings_path: str = "") -> None:
    """Returns when this process may load the other modules. `settings_path`: as given on the command line; "": none.

    Raises SystemExit if it stands by and its configuration can't be used, or an address can't be bound.
    """
    global started
    started = ProcessStart()
    listen, admin = addresses(environ)
    prefix = state_path(environ.get("TMPDIR"), *split_address(listen))
    if prefix is not None:
        started.shares = ProcessShares.join(prefix + SHARES_SUFFIX)
    started.standby_bytes = status_bytes("VmHWM") + STANDBY_WORKING_BYTES
    started.standby_private_bytes = status_bytes("RssAnon") + STANDBY_WORKING_BYTES
    if prefix is None or started.shares is None or wait_for_room(started.shares):
        return
    variables = {name: environ[name] for name in CONFIGURATION_VARIABLES if environ.get(name)}
    variables |= {"LIMENOTCH_SETTINGS": settings_path} if settings_path else {}
    variables |= {name: os.path.abspath(variables[name]) for name in PATH_VARIABLES if name in variables}
    standby = Standby(started.shares, prefix + SOCKET_SUFFIX, split_address(listen), split_address(admin), variables)
    started.inheritance = standby.wait()


def wait_for_room(shares: ProcessShares) -> bool:
    """Returns True when this process has room to start, and False if it has to stand by."""
    until = time.monotonic() + ROOM_TIMEOUT_S
    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)  # the configuration is read after this
    while not shares.try_start():
        if not shares.may_ever_start() or time.monotonic() >= until:
            shares.stand_by()
            return False
        time.sleep(CHECK_INTERVAL_S)
    _signal.signal(_signal.SIGHUP, _signal.SIG_DFL)
    return True
