"""Prepaid credit of tenants, which sidecars spend locally and never overspend. Design: docs/fleet/wallet-design.md.

`Wallet` is imported on first access: the settings need only `tuning`, also where no tenant has a wallet.
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
