"""The laboratory: a model of tiers of providers and their failures, hosts that run it, and what reads the results.

- `model/`: providers, directory, network, clients, faults and the four rules; no I/O and no clock of its own.
- `simulate/`: the model in simulated time, with the decision module itself in the sidecars' place.
- `scenario.py`, `scenarios/`: what is played, in TOML.
- `experiment.py`, `report/`: many runs, compared and shown.

Nothing here is imported by `limenotch serve`; the libraries it needs are the extra `lab`.
"""
