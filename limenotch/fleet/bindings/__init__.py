"""Layer 5: what belongs to which provider, known to all and forgotten together.

Design: docs/fleet/bindings-design.md.
"""
