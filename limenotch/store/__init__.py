"""What a sidecar keeps on disk of the fleet's log. Knows nothing of the fleet; imported only where one is on."""

from importlib.util import find_spec

NEEDED = ("crc32c",)  # beside requirements.txt; the extra `fleet`


def missing() -> tuple[str, ...]:
    """The libraries that a store needs and that are not installed, by name: to be told where a fleet is switched on."""
    return tuple(name for name in NEEDED if find_spec(name) is None)
