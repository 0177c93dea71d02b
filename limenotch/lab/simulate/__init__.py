"""The model in simulated time: an event heap, sidecars that hold the decision module, and the world around them.

One decision module instance a sidecar, driven through its public interface; instances share nothing.
"""
