"""Tests of a whole fleet: simulated time, faults, and expected timelines of log lines. See docs/fleet/lab.md."""
