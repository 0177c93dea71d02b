"""Print the version.

Usage:
  limenotch version
"""

from __future__ import annotations

from docopt import docopt

from .. import __version__


def command(arguments: list[str]) -> int:
    docopt(__doc__ or "", arguments)
    print(__version__)
    return 0
