"""The rules that a fleet agrees on: versions, leases, changes and ejections. Layer 3: decisions only, see core.py."""

from .core import Rules
from .tuning import Tuning

__all__ = ["Rules", "Tuning"]
