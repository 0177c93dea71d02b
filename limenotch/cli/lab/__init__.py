"""The laboratory's commands."""

from __future__ import annotations

from .. import dispatch

USAGE = """The laboratory: play scenarios, compare policies, emulate a fleet, load it.

Usage:
  limenotch lab <command> [<arguments>...]
  limenotch lab (-h | --help)

Commands:
  run        Play a scenario in simulated time, for one seed or many.
  demo       Twenty seconds on loopback that show what it does; needs nothing.
  emulate    Keep a fleet and its sidecars on loopback.
  load       Send calls to sidecars, open loop.
  rehearse   Play a scenario on sockets in real time, with real sidecars.
  compare    Play variants on the same seeds and say which is better.
  fleet      Sidecars that act as one: kill one, bring it back, or play a drawing of your own.
  scenarios  List the scenarios that come with the program, or show one.
  timeline   Count what a fleet did, second by second, over its sidecars' logs.

`limenotch lab <command> --help` tells more of one of them.
"""

MODULES = {
    "run": "run",
    "compare": "compare",
    "rehearse": "rehearse",
    "demo": "demo",
    "emulate": "emulate",
    "load": "load",
    "fleet": "fleet",
    "scenarios": "scenarios",
    "timeline": "timeline",
}


def command(arguments: list[str]) -> int:
    """Runs the sub-command with its command line, and returns the exit code."""
    return dispatch(USAGE, MODULES, __name__, arguments[1:], ("lab",))
