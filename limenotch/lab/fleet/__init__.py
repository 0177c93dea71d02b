"""Many sidecars under faults: simulated time, relays and processes, drawings, checkers."""
