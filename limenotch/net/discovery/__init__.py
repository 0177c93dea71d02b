"""Discovery: when the endpoint list is queried, the watch that follows it, and the parsing of what it sends."""
