"""Formats on the wire, on disks and in operators' scripts are read and written as commit 48a87b5 did.

The files in `data/` were written by that commit (`record.py`) and are not written again.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import tempfile
from pathlib import Path
from typing import Any

import msgspec
import pytest

from . import record, subjects
from .answers import operator_responses

DATA = Path(__file__).parent / "data"
MESSAGES: dict[str, str] = json.loads((DATA / "messages.json").read_text())
RECORDS: dict[str, str] = json.loads((DATA / "records.json").read_text())


def test_no_kind_of_message_or_record_is_missing_or_new() -> None:
    assert {subjects.tag_of(message_type) for message_type in subjects.MESSAGES} == MESSAGES.keys()
    assert subjects.RECORDS.keys() == RECORDS.keys()


@pytest.mark.parametrize("tag", MESSAGES)
def test_a_message_is_read_and_written_in_the_same_bytes(tag: str) -> None:
    frame = bytes.fromhex(MESSAGES[tag])
    decoded = subjects.wire().decode(frame)
    assert isinstance(decoded, tuple), decoded
    sender, message = decoded
    assert (sender, subjects.tag_of(message)) == ("sender", tag)
    assert subjects.wire().encode(sender, message) == frame
    assert record.messages()[tag] == MESSAGES[tag]  # the fields have the same order


@pytest.mark.parametrize("name", RECORDS)
def test_a_record_is_read_and_written_in_the_same_bytes(name: str) -> None:
    raw = bytes.fromhex(RECORDS[name])
    assert msgspec.msgpack.encode(msgspec.msgpack.decode(raw, type=subjects.RECORDS[name])) == raw
    assert record.records()[name] == RECORDS[name]


def test_a_store_folder_with_a_torn_end_is_read(tmp_path: Path) -> None:
    folder = tmp_path / "store"
    shutil.copytree(DATA / "store", folder)
    stored, torn_end = subjects.opened(folder)
    assert stored.term_vote == subjects.records.TermVote(3, "b")
    assert stored.snapshot == subjects.records.Snapshot(4, 2, b"state of four", ("a", "b", "c"))
    assert [(entry.index, entry.term, entry.kind) for entry in stored.entries] == [
        (5, 2, "cmd"), *((index, 3, "cmd" if index % 3 else "none") for index in range(6, 14))
    ]  # fmt: skip
    assert [entry.data for entry in stored.entries[1:]] == [b"%d" % index * 40 for index in range(6, 14)]
    assert torn_end is not None  # the vote of term 4, of which the last bytes are missing


def test_a_store_is_written_in_the_same_bytes(tmp_path: Path) -> None:
    record.store(tmp_path / "store")
    written = {path.name: path.read_bytes() for path in (tmp_path / "store").iterdir()}
    assert written == {path.name: path.read_bytes() for path in (DATA / "store").iterdir()}


def test_a_successor_takes_over_the_handed_over_state() -> None:
    handover: dict[str, Any] = json.loads((DATA / "handover.json").read_text())
    clock = subjects.Clock()
    clock.ms += 2000.0
    successor = subjects.facade(clock)
    successor.import_endpoint_ages(handover["knowledge"])
    successor.endpoints_listed(subjects.listed(), True)
    successor.import_state(handover["knowledge"])
    assert json.loads(json.dumps(successor.export_state())) == handover["knowledge"]


def test_a_process_hands_over_the_same_data() -> None:
    assert json.loads(json.dumps(record.handover())) == json.loads((DATA / "handover.json").read_text())


def test_the_file_of_ejections_is_read_and_written_in_the_same_bytes() -> None:
    raw = (DATA / "bans.json").read_bytes()
    ejected, readmitted = subjects.read_bans(raw)
    assert (ejected, readmitted) == ({"a", "b"}, {"c": 1796256000000.0})
    assert subjects.written_bans(ejected, readmitted) == raw


def test_the_settings_have_the_same_keys_and_defaults() -> None:
    assert record.settings() == (DATA / "settings.toml").read_text()


def test_the_metrics_have_the_same_names() -> None:
    assert subjects.figures() == (DATA / "metrics.txt").read_bytes()


def test_operators_use_the_same_paths() -> None:
    assert subjects.paths() == json.loads((DATA / "paths.json").read_text())


def test_responses_to_operators_have_the_same_keys() -> None:
    with tempfile.TemporaryDirectory() as folder:
        responses = asyncio.run(asyncio.wait_for(operator_responses(Path(folder)), 60))
    assert responses == json.loads((DATA / "answers.json").read_text())


def test_the_environment_variables_have_the_same_names() -> None:
    assert subjects.environment(record.sources()) == json.loads((DATA / "environment.json").read_text())


def test_the_command_line_is_the_same() -> None:
    assert record.usage() == (DATA / "usage.txt").read_text()


def test_the_output_for_the_simulator_is_the_same() -> None:
    assert record.simulator(subjects.SIMULATOR_INPUT) == (DATA / "simulator.out").read_text()
