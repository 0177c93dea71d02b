"""A sidecar that balances calls over the providers of one tier.

Usage:
  limenotch serve
  limenotch check-config
  limenotch version
  limenotch (-h | --help)

Commands:
  serve         Run until SIGTERM, then finish the calls taken and exit with 0.
  check-config  Read and check the configuration, say what it comes to, and exit.
  version       Print the version.

The configuration is the file that LB_CONFIG names; LB_NAME, LB_LISTEN and LB_DISCOVERY override it.
A faulty configuration is told by the name of its key, with exit code 2.
"""

from __future__ import annotations

import asyncio
import logging
import os
import sys

from docopt import docopt

from . import __version__
from .config import Config, ConfigError, host_port, load


def describe(config: Config) -> str:
    listed = config.known.get("endpoints") or []
    return "\n".join(
        [
            f"name: {config.name}",
            f"listen: {host_port(config.listen)}",
            f"directory: {host_port(config.directory)}",
            f"layer: {config.settings.layer}",
            f"classes: {', '.join(c.name for c in config.settings.classes)}",
            f"tenants: {len(config.settings.tenants)}",
            f"providers known: {len(listed)}",
            f"sockets: {config.sockets}",
        ]
    )


def main(argv: list[str] | None = None) -> int:
    arguments = docopt(__doc__, argv)
    if arguments["version"]:
        print(__version__)
        return 0
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"limenotch: {error}", file=sys.stderr)
        return 2
    if arguments["check-config"]:
        print(describe(config))
        return 0
    from .program import serve  # the network's imports are needed by this command only

    logging.basicConfig(level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(message)s")
    try:
        asyncio.run(serve(config))
    except OSError as error:
        print(f"limenotch: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
