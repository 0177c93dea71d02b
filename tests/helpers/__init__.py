"""What several tests use: `processes.py` starts, awaits and ends, `peers.py` speaks to the sidecar."""
