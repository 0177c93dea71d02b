"""Read and check the configuration, say what it comes to, and exit.

Usage:
  limenotch check-config [--settings FILE]

Options:
  --settings FILE  The program's own settings, TOML; default: the file that LIMENOTCH_SETTINGS names, or none.

The platform's configuration is the JSON file that LB_CONFIG names. A fault is told by its key, with exit code 2.
Settings are printed as they are in force, defaults included, in the form in which they can be given.
"""

from __future__ import annotations

import os
import sys
from math import ceil
from subprocess import SubprocessError

from docopt import docopt

from ..config import Config, ConfigError, host_port, load
from ..idle_memory import idle_memory
from ..settings_file import check_as, effective, load_settings
from ..toml import FaultError

BYTES_PER_MB = 1_000_000


def describe(config: Config) -> str:
    """A summary of a configuration, in lines for humans."""
    known_endpoints = config.known_list.get("endpoints") or []
    return "\n".join(
        [
            f"name: {config.name}",
            f"listen: {host_port(config.listen)}",
            f"directory: {host_port(config.discovery)}",
            f"layer: {config.settings.tier_index}",
            f"classes: {', '.join(c.name for c in config.settings.classes)}",
            f"tenants: {len(config.settings.tenants)}",
            f"providers known: {len(known_endpoints)}",
            f"sockets: {config.sockets}",
        ]
    )


def check_memory(config: Config) -> list[str]:
    """What the limit is too small for beside the process itself, in lines for humans; measured here.

    Raises ConfigError if it is too small for the process itself.
    """
    from ..net.memory_limits import ENDPOINT_BYTES, process_needs

    try:
        idle = idle_memory()
    except (OSError, SubprocessError) as error:
        raise ConfigError(f"limits.memory_mb: what a sidecar takes can't be measured here: {error}") from error
    limit_bytes = config.memory_mb * BYTES_PER_MB
    endpoints = len(config.known_list.get("endpoints") or [])
    needs = process_needs(limit_bytes, idle.base + endpoints * ENDPOINT_BYTES, idle.standby, idle.standby_private)
    if needs.alone > limit_bytes:
        needed_mb = ceil(needs.alone / BYTES_PER_MB)
        raise ConfigError(f"limits.memory_mb: {config.memory_mb:g} is too small, the process itself needs {needed_mb}")
    return [f"{text}: {ceil(needed / BYTES_PER_MB)} MB are needed" for text, needed in needs.beyond(limit_bytes)]


def command(arguments: list[str]) -> int:
    """Runs the sub-command with its command line, and returns the exit code."""
    options = docopt(__doc__ or "", arguments)
    try:
        settings = load_settings(options["--settings"], os.environ)
        config = load(os.environ)
        check_as(settings, config.name)
        warnings = check_memory(config)
        print("\n".join([describe(config), *warnings]))
    except (ConfigError, FaultError) as error:
        print(f"limenotch: {error}", file=sys.stderr)
        return 2
    print("\n" + effective(settings), end="")
    return 0
