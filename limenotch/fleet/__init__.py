"""The fleet: what many sidecars know of each other and agree on. Decisions only, without I/O.

Without a `[fleet]` table in the program's settings nothing imports this package.
"""
