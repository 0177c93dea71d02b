"""Layer 4: credit that sidecars spend without asking, and never overspend. Design: docs/fleet/wallet-design.md.

The decisions are imported when they are asked for: settings need `tuning` alone, also where nobody pays.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .tuning import Tuning

if TYPE_CHECKING:
    from .core import Wallet

__all__ = ["Tuning", "Wallet"]


def __getattr__(name: str) -> Any:
    if name == "Wallet":
        from .core import Wallet

        return Wallet
    raise AttributeError(name)
