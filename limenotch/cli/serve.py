"""Run until SIGTERM, then finish the calls taken and exit with 0.

Usage:
  limenotch serve [--settings FILE] [--log FORM]

Options:
  --settings FILE  The program's own settings, TOML; default: the file that LIMENOTCH_SETTINGS names, or none.
  --log FORM       human or json; default: what the settings say.

The platform's configuration is the JSON file that LB_CONFIG names; LB_NAME, LB_LISTEN and LB_DISCOVERY override
it. A faulty configuration is told by the name of its key, with exit code 2. Exit code 1: the address to listen on
could not be had.
"""

from __future__ import annotations

import asyncio
import os
import sys

import msgspec
from docopt import docopt

from .. import process_start
from ..config import ConfigError, load
from ..logs import FORMS, configure
from ..settings_file import check_as, load_settings
from ..toml import FaultError


def command(arguments: list[str]) -> int:
    """Runs the sub-command with its command line, and returns the exit code."""
    options = docopt(__doc__ or "", arguments)
    try:
        settings = load_settings(options["--settings"], os.environ)
        config = load(os.environ)
        check_as(settings, config.name)
    except (ConfigError, FaultError) as error:
        print(f"limenotch: {error}", file=sys.stderr)
        return 2
    form = options["--log"]
    if form is not None:
        if form not in FORMS:
            print(f"limenotch: --log: expected {' or '.join(FORMS)}, not {form!r}", file=sys.stderr)
            return 2
        settings = msgspec.structs.replace(settings, log=msgspec.structs.replace(settings.log, form=form))
    configure(settings.log.form, settings.log.level, config.name)
    from ..app import serve  # only here, as other commands do not need the modules of the network

    try:
        asyncio.run(serve(config, settings, process_start.started))
    except OSError as error:
        print(f"limenotch: listen: {error}", file=sys.stderr)
        return 1
    return 0
