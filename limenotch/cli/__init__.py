"""The command line: one module a sub-command, each with its own usage text (docopt-ng) and a `command`.

A sub-command's module is imported when it is called, so that none pays for another's libraries.
"""

from __future__ import annotations

import importlib
import sys

from docopt import docopt

USAGE = """A sidecar that balances calls over the providers of one tier, and its laboratory.

Usage:
  limenotch <command> [<arguments>...]
  limenotch (-h | --help)

Commands:
  serve         Run until SIGTERM, then finish the calls taken and exit with 0.
  check-config  Read and check the configuration, say what it comes to, and exit.
  lab           The laboratory: play scenarios, compare policies, emulate a fleet, load it.
  version       Print the version.

`limenotch <command> --help` tells more of one of them.
"""

MODULES = {"serve": "serve", "check-config": "check_config", "version": "version", "lab": "lab"}


def dispatch(usage: str, modules: dict[str, str], package: str, argv: list[str], before: tuple[str, ...] = ()) -> int:
    """Run the sub-command that `argv` names; the exit code. A faulty command line exits with 2.

    `before` are the words that led here: a sub-command gets the whole line, as its usage text has it.
    """
    try:
        arguments = docopt(usage, [*before, *argv], options_first=True)
    except SystemExit as end:
        # docopt's own end: without a code it has printed the help that was asked for.
        if end.code is None:
            return 0
        print(end.code, file=sys.stderr)
        return 2
    name = arguments["<command>"]
    if name not in modules:
        known = ", ".join(modules)
        print(f"limenotch: {name}: no such command; there are {known}", file=sys.stderr)
        return 2
    module = importlib.import_module(f"{package}.{modules[name]}")
    try:
        return int(module.command([*before, name, *arguments["<arguments>"]]))
    except SystemExit as end:
        if end.code is None or isinstance(end.code, int):
            return end.code or 0
        print(end.code, file=sys.stderr)
        return 2
    except ImportError as error:
        if package.endswith(".lab") or name == "lab":
            print(f"limenotch: the laboratory needs its libraries, pip install '.[lab]': {error}", file=sys.stderr)
            return 2
        raise


def main(argv: list[str] | None = None) -> int:
    """Run the command line `argv`, by default the process's own; the exit code."""
    return dispatch(USAGE, MODULES, __package__ or "limenotch.cli", sys.argv[1:] if argv is None else argv)
