"""Writes the frozen data files from the running code: `python -m tests.frozen.record`.

The files in `data/` were written by commit 48a87b5. They represent what is on the wire, on disks and in operators'
scripts already, so they are never written again; a new kind of message gets a file of its own.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from pathlib import Path

import msgspec

from . import subjects
from .answers import operator_responses
from .samples import sample_of
from .subjects import Append, AttemptEnding, LogEntry, RealFiles, Snapshot, Store, TermVote

DATA = Path(__file__).parent / "data"


def messages() -> dict[str, str]:
    """Returns, by tag, the encoded frame of one sample of each message type."""
    wire = subjects.wire()
    return {
        subjects.tag_of(message_type): wire.encode("sender", sample_of(message_type)).hex()
        for message_type in subjects.MESSAGES
    }


def records() -> dict[str, str]:
    """Returns, by name, one encoded sample of each log entry type and each snapshot state."""
    return {
        name: msgspec.msgpack.encode(sample_of(message_type)).hex() for name, message_type in subjects.RECORDS.items()
    }


def store(folder: Path) -> None:
    """Writes a store of several segments with a snapshot, whose last segment has a truncated end."""
    files = RealFiles(folder)
    opened_store = Store(files, segment_bytes=300)
    opened_store.open()
    opened_store.write([TermVote(3, "b"), Append(tuple(LogEntry(index, 2, "cmd", b"old") for index in range(1, 6)))])
    opened_store.write([Snapshot(4, 2, b"state of four", ("a", "b", "c"))])
    for index in range(6, 14):
        opened_store.write([Append((LogEntry(index, 3, "cmd" if index % 3 else "none", b"%d" % index * 40),))])
    opened_store.write([TermVote(4, "c")])
    files.release()  # without the record of an orderly close
    (folder / "lock").unlink(missing_ok=True)
    last_segment = max(folder.glob("log-*"))
    last_segment.write_bytes(last_segment.read_bytes()[:-5])


def handover() -> dict[str, object]:
    """Returns what a process that has served some requests hands over to its successor."""
    clock = subjects.Clock()
    facade = subjects.facade(clock)
    facade.start()
    facade.endpoints_listed(subjects.listed(), True)
    for request_id in range(40):
        clock.ms += 25.0
        for command in facade.request_arrived(request_id, "look" if request_id % 3 else "book", "t1", 800.0):
            if isinstance(command, subjects.StartAttempt):
                clock.ms += 7.0 + request_id % 5
                facade.attempt_finished(
                    request_id, 0, command.endpoint, 7.0 + request_id % 5, AttemptEnding.SERVED, True, 0.25, 80.0
                )
    return {"version": 1, "list": subjects.LIST, "knowledge": facade.export_state()}


def settings() -> str:
    """Returns the program's settings keys at their defaults, and those of a fleet."""
    fleet = subjects.parse(subjects.FLEET.format(key_file=subjects.key_file()), "frozen")
    defaults = subjects.effective(subjects.Settings())
    return defaults + "\n" + subjects.effective(fleet).replace(subjects.key_file(), "KEY_FILE")


def sources() -> list[str]:
    """Returns the program's source texts."""
    return [path.read_text() for path in sorted((DATA.parents[2] / "limenotch").rglob("*.py"))]


def usage() -> str:
    """Returns the usage texts of the program and of two commands."""
    return "\n====\n".join([subjects.USAGE, subjects.serve_command.__doc__ or "", subjects.check_config.__doc__ or ""])


def simulator(lines: str) -> str:
    """Returns the output of the simulator adapter for these input lines."""
    return subjects.played(subjects.SimulatorAdapter, lines)


def main() -> int:
    if DATA.exists() and any(DATA.iterdir()):
        print(f"{DATA} holds the frozen files already", file=sys.stderr)
        return 1
    DATA.mkdir(exist_ok=True)
    for name, value in (("messages", messages()), ("records", records()), ("handover", handover())):
        (DATA / f"{name}.json").write_text(json.dumps(value, indent=1) + "\n")
    store(DATA / "store")
    (DATA / "bans.json").write_bytes(subjects.written_bans({"b", "a"}, {"c": 1796256000000.0}))
    (DATA / "settings.toml").write_text(settings())
    (DATA / "metrics.txt").write_bytes(subjects.figures())
    (DATA / "paths.json").write_text(json.dumps(subjects.paths(), indent=1) + "\n")
    (DATA / "environment.json").write_text(json.dumps(subjects.environment(sources()), indent=1) + "\n")
    (DATA / "usage.txt").write_text(usage())
    with tempfile.TemporaryDirectory() as folder:
        responses = asyncio.run(operator_responses(Path(folder)))
    (DATA / "answers.json").write_text(json.dumps(responses, indent=1) + "\n")
    (DATA / "simulator.out").write_text(simulator(subjects.SIMULATOR_INPUT))
    return 0


if __name__ == "__main__":
    sys.exit(main())
