"""Adapters connect the fleet's components with operators, requests and endpoints.

Imported only where `[fleet]` is set. `fleet_node.py` takes the component, the messages and the routes of each adapter;
all else is the adapter's own.
"""
