"""The network side of limenotch, one module for each peer; calls.py has no protocol in it."""
