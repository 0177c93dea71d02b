"""A sidecar as before processes shared the limits: it starts at once. `python -m tests.helpers.unshared_sidecar`."""

from __future__ import annotations

import sys

from limenotch import process_start

from . import plain_sidecar

if __name__ == "__main__":
    process_start.begin = lambda environ, settings_path="": None
    sys.exit(plain_sidecar.main())
