"""Rules that the sidecars agree on: versions, leases, changes, bans. Layer 3; decisions only, see core.py."""

from .core import Rules
from .tuning import Tuning

__all__ = ["Rules", "Tuning"]
