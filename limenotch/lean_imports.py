"""Keeps modules out of the process that its libraries import and it never uses: OpenSSL, curses and others, some 8 MB.

The sidecar speaks no TLS. Under the least memory limits that is a fifth of what the process may hold.
"""

from __future__ import annotations

import sys
from types import ModuleType, SimpleNamespace
from typing import Any

# Their importers go on without them: hashlib has hash functions of its own, and tornado logs without colours.
OPTIONAL_MODULES = ("_hashlib", "curses")


# What asyncio and tornado import, and use in functions alone that the sidecar never calls.
UNCALLED_MODULES = ("asyncio.sslproto", "html", "ipaddress", "logging.handlers")


class UnavailableContextError(RuntimeError):
    """TLS was requested in a process that has none."""


class _SSLContext:
    """Takes the place of `ssl.SSLContext`, of which tornado creates two when it is imported."""

    def wrap_socket(self, *_: Any, **__: Any) -> None:
        raise UnavailableContextError("this process was started without TLS")


def leave_out_unused_modules() -> None:
    """To be called before asyncio and tornado are imported; without effect if `ssl` is loaded already."""
    if "ssl" in sys.modules or "asyncio" in sys.modules:
        return
    for name in OPTIONAL_MODULES:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]  # an import raises ImportError
    sys.modules["ssl"] = None  # type: ignore[assignment]  # asyncio goes on without it
    left_out = [name for name in UNCALLED_MODULES if name not in sys.modules]
    for name in left_out:
        sys.modules[name] = ModuleType(name)
    import asyncio  # noqa: F401

    sys.modules["ssl"] = _placeholder()  # tornado does not
    import tornado.escape
    import tornado.log  # noqa: F401

    for name in left_out:  # whoever else imports them gets the modules themselves
        del sys.modules[name]


def _placeholder() -> ModuleType:
    """A module with what tornado uses of `ssl` when it is imported."""
    module = ModuleType("ssl", "Takes the place of the module of this name in a process without TLS.")
    names: dict[str, Any] = {
        "SSLContext": _SSLContext,
        "SSLSocket": type("SSLSocket", (), {}),
        "SSLError": type("SSLError", (OSError,), {}),
        "Purpose": SimpleNamespace(SERVER_AUTH=None, CLIENT_AUTH=None),
        "create_default_context": lambda *_: _SSLContext(),
    }
    for name, value in names.items():
        setattr(module, name, value)
    return module
