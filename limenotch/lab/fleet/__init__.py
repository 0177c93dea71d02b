"""Many sidecars at once: simulated time with faults, and drawings of what is to be seen. See docs/fleet/lab.md."""
