"""The client of discovery: when it queries the endpoint list, its watches, and the parsing of what they receive."""
