"""The fleet's layers as the program has them: each joins its decisions with operators, calls and providers.

Imported only where `[fleet]` is set. `fleet_node.py` asks each for its part, its messages and its paths; what a
layer does beyond that is its own.
"""
