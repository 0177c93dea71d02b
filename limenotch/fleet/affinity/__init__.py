"""Layer 5: what belongs to which provider, known to all and forgotten together; decisions only, see core.py.

Design: docs/fleet/bindings-design.md. The settings' reader needs `tuning` alone: the decisions are imported where the
table is set.
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
