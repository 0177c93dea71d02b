"""The simulator: runs the model of `lab/model` in simulated time, with an event heap and simulated sidecars.

Each simulated sidecar drives its own instance of the decision module through that module's public interface.
Instances share no state.
"""
