"""Many sidecars as one: what they know of each other and agree on. Decisions only, nothing here does I/O.

Off without a `[fleet]` table in the program's settings; nothing imports this package then.
"""
