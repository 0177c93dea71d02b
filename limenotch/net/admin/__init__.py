"""Operators at the second address: the server and what it is asked about the fleet's parts."""
