"""Print the version.

Usage:
  limenotch version
"""

from __future__ import annotations

from docopt import docopt

from .. import __version__


def command(arguments: list[str]) -> int:
    """Runs the sub-command with its command line, and returns the exit code."""
    docopt(__doc__ or "", arguments)
    print(__version__)
    return 0
