"""Layer 4: credit that sidecars spend without asking, and never overspend. Design: docs/fleet/wallet-design.md."""

from .core import Wallet
from .tuning import Tuning

__all__ = ["Tuning", "Wallet"]
