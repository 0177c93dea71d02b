"""The operators' address: its server, and the requests that components of the fleet node answer."""
