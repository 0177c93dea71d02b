"""Membership: which sidecars of the fleet are alive. Decisions only; see `core` for the rules."""

from .context import Phase
from .core import Membership, MemberView
from .states import State
from .tuning import Tuning

__all__ = ["MemberView", "Membership", "Phase", "State", "Tuning"]
