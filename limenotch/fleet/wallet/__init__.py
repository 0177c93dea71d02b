"""Layer 4: credit that sidecars spend without asking, and never overspend. Design: docs/fleet/wallet-design.md."""
