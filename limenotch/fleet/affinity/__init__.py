"""Fleet layer 5, the affinity table: binds keys, sessions and client connections to endpoints, replicated to all
sidecars of the fleet.

The package makes decisions only and does no I/O; core.py is the component. Design: docs/fleet/bindings-design.md.
The settings reader needs only `tuning`; the other modules are imported lazily, when `[fleet.bindings]` is set.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .tuning import Tuning

if TYPE_CHECKING:
    from .core import Bindings
    from .expiry import death_detection_ms, expiry_bound_ms

__all__ = ["Bindings", "Tuning", "death_detection_ms", "expiry_bound_ms"]


def __getattr__(name: str) -> Any:
    if name == "Bindings":
        from .core import Bindings

        return Bindings
    if name in ("death_detection_ms", "expiry_bound_ms"):
        from . import expiry

        return getattr(expiry, name)
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
