"""The command line: a module for each sub-command, with its usage text (docopt-ng) and a function `command`.

The module of a sub-command is imported when that is called, so that no sub-command needs the libraries of another one.
"""

from __future__ import annotations

import importlib
import os
import sys

from .. import process_start

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

LEAN_COMMANDS = ("serve",)  # that run in a process with a limit on its memory
MODULES = {"serve": "serve", "check-config": "check_config", "version": "version", "lab": "lab"}


def dispatch(usage: str, modules: dict[str, str], package: str, argv: list[str], prefix: tuple[str, ...] = ()) -> int:
    """Runs the sub-command that `argv` names and returns its exit code, which is 2 for an invalid command line.

    `modules`: by the sub-command, the name of its module in `package`. `prefix`: the commands before `argv`, as the
    usage text of a sub-command includes them.
    """
    from docopt import docopt

    try:
        arguments = docopt(usage, [*prefix, *argv], options_first=True)
    except SystemExit as end:
        # Raised by docopt: without a code it has printed the help that was requested.
        if end.code is None:
            return 0
        print(end.code, file=sys.stderr)
        return 2
    name = arguments["<command>"]
    if name not in modules:
        known = ", ".join(modules)
        print(f"limenotch: {name}: no such command; there are {known}", file=sys.stderr)
        return 2
    if name in LEAN_COMMANDS:
        from ..lean_imports import leave_out_unused_modules

        leave_out_unused_modules()
    module = importlib.import_module(f"{package}.{modules[name]}")
    try:
        return int(module.command([*prefix, name, *arguments["<arguments>"]]))
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
    """Runs the command line `argv`, by default that of the process, and returns the exit code."""
    arguments = sys.argv[1:] if argv is None else argv
    if arguments[:1] == ["serve"] and not {"-h", "--help"} & set(arguments):
        # Before anything else is imported: another process of this sidecar may hold what that takes.
        process_start.begin(os.environ, option_value(arguments, "--settings"))
    return dispatch(USAGE, MODULES, __package__ or "limenotch.cli", arguments)


def option_value(arguments: list[str], option: str) -> str:
    """The value of an option that is given as two arguments or as `OPTION=VALUE`; "" without it."""
    for argument, following in zip(arguments, [*arguments[1:], ""], strict=True):
        if argument == option:
            return following
        if argument.startswith(f"{option}="):
            return argument.partition("=")[2]
    return ""
