"""Discovery: when the endpoint list is asked for, the watch, and what it brings."""
