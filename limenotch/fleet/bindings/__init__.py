"""Layer 5: what belongs to which provider, known to all and forgotten together; decisions only, see core.py.

Design: docs/fleet/bindings-design.md.
"""

from .core import Bindings
from .spans import death_ms, forget_ms
from .tuning import Tuning

__all__ = ["Bindings", "Tuning", "death_ms", "forget_ms"]
