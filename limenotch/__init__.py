"""limenotch: a sidecar that balances calls over the providers of one tier, on real sockets."""

__version__ = "0.1.0"
