"""A process that measures itself for `idle_memory`: it prints the fields of `IdleMemory`, in bytes."""

from __future__ import annotations

import os

from . import process_start


def main() -> None:
    """Takes the first step of a sidecar's start, then loads its modules; prints the sizes after each."""
    process_start.begin({name: value for name, value in os.environ.items() if name != "TMPDIR"})
    from .lean_imports import leave_out_unused_modules

    leave_out_unused_modules()
    from . import app  # noqa: F401
    from .net.process_memory import resident_bytes

    print(process_start.started.standby_bytes, process_start.started.standby_private_bytes, resident_bytes())


if __name__ == "__main__":
    main()
