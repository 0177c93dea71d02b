"""The network side of limenotch: clients, endpoints, discovery, operators, other sidecars, and the next process.

`requests.py` and `request.py` are independent of the wire protocol.
"""
