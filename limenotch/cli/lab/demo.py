"""Twenty seconds of a small three-tier fleet on loopback: real sidecars, a slow box, a drain, and a report.

Usage:
  limenotch lab demo [--report FILE]

Options:
  --report FILE  Where the page goes [default: limenotch-demo.html].

Needs nothing but the installation, and ends everything that it started.
"""

from __future__ import annotations

import sys
from pathlib import Path

from docopt import docopt

from ...toml import FaultError
from .rehearse import run_rehearsal, show_results


def command(arguments: list[str]) -> int:
    """Runs the sub-command with its command line, and returns the exit code."""
    options = docopt(__doc__ or "", arguments)
    try:
        exit_code = show_results(run_rehearsal("demo", 1, "", quiet=False), None, options["--report"], None)
    except FaultError as error:
        print(f"limenotch: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("limenotch: interrupted; all processes are ended", file=sys.stderr)
        return 4
    print(f"the report: {Path(options['--report']).resolve()}")
    return exit_code
