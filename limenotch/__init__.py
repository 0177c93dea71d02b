"""limenotch: a sidecar proxy that balances requests over the endpoints of one tier."""

__version__ = "0.1.0"
