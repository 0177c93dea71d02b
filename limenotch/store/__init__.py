"""The fleet's log on a sidecar's disk. Independent of the fleet's code; imported only where a fleet is configured."""

from importlib.util import find_spec

NEEDED = ("crc32c",)  # in addition to requirements.txt; the extra `fleet`


def missing() -> tuple[str, ...]:
    """The names of required libraries that are not installed, for an error where a fleet is configured."""
    return tuple(name for name in NEEDED if find_spec(name) is None)
