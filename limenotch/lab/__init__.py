"""The laboratory: a model of tiers of providers and their failures, hosts that run it, and reports of the results.

- `model/`: providers, directory, network, clients, faults and the rules of a run; no I/O and no clock.
- `simulate/`: the model in simulated time, with the decision module in simulated sidecars.
- `scenario.py`, `scenarios/`: descriptions of runs, in TOML.
- `experiment.py`, `report/`: many runs, compared and shown.

`limenotch serve` imports nothing from here; the libraries that the laboratory needs are the extra `lab`.
"""
