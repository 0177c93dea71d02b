"""The command line with the libraries of requirements.txt alone: `python -m tests.helpers.plain_sidecar`.

structlog loads rich, and 5 MB with it, where the development tools have brought it.
"""

from __future__ import annotations

import sys

sys.modules["rich"] = None  # type: ignore[assignment]

from limenotch.cli import main as main  # noqa: E402 (after rich is hidden)

if __name__ == "__main__":
    sys.exit(main())
