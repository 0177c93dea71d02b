"""Frames: round trips, invalid frames dropped by fault, and compatibility of old and new programs."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from limenotch.fleet.interfaces import Message
from limenotch.fleet.wire import (
    DIGEST_BYTES,
    MAX_FRAME_BYTES,
    MAX_NAME_LENGTH,
    FrameCodec,
    FrameFault,
    FrameReader,
    Hello,
    with_length,
)

from .fake_messages import ALL_MESSAGES, Block, Line, Probe

KEY = b"sixteen bytes ok"


def make_codec(key: bytes = KEY, group: str = "g", **more: tuple[int, int]) -> FrameCodec:
    return FrameCodec(key, group, ALL_MESSAGES, **more)


MESSAGES = st.one_of(
    st.builds(Probe, st.integers(-(2**63), 2**64 - 1), st.text()),
    st.builds(Line, st.text()),
    st.builds(Block, st.binary()),
    st.builds(Hello, st.integers(0, 2**60), st.tuples(st.text(), st.integers(0, 65535))),
)


@given(st.text(min_size=1, max_size=MAX_NAME_LENGTH), MESSAGES)
def test_a_message_is_decoded_as_it_was_encoded(sender: str, message: Message) -> None:
    codec = make_codec()
    assert codec.decode(codec.encode(sender, message)) == (sender, message)
    assert not any(codec.faults.values())


@given(MESSAGES, st.data())
def test_any_changed_byte_and_any_truncation_is_dropped(message: Message, data: st.DataObject) -> None:
    codec = make_codec()
    frame = bytearray(codec.encode("a", message))
    position = data.draw(st.integers(0, len(frame) - 1))
    cut = codec.decode(bytes(frame[:position]))
    assert cut is (FrameFault.SHORT if position <= DIGEST_BYTES else FrameFault.DIGEST)
    frame[position] ^= data.draw(st.integers(1, 255))
    assert codec.decode(bytes(frame)) is FrameFault.DIGEST
    assert sum(codec.faults.values()) == 2


@given(st.binary(max_size=300))
def test_random_bytes_are_dropped_with_and_without_a_valid_digest(data: bytes) -> None:
    codec = make_codec()
    assert codec.decode(data) in (FrameFault.SHORT, FrameFault.DIGEST)
    fault = codec.decode(codec._digest(b"\x01" + data) + b"\x01" + data)  # from a faulty program that has the key
    assert fault in (FrameFault.MALFORMED, FrameFault.GROUP, FrameFault.KIND)


def test_deeply_nested_messages_are_dropped() -> None:
    codec = make_codec()
    for deep in (b"\x91" * 100_000, b"\x93\xa1g\xa1a" + b"\x91" * 100_000):
        assert codec.decode(codec._digest(b"\x01" + deep) + b"\x01" + deep) is FrameFault.MALFORMED


def test_another_key_group_or_kind_is_dropped() -> None:
    codec = make_codec()
    assert codec.decode(make_codec(KEY[::-1]).encode("a", Probe(1))) is FrameFault.DIGEST
    assert codec.decode(make_codec(group="h").encode("a", Probe(1))) is FrameFault.GROUP
    assert FrameCodec(KEY, "g", (Probe,)).decode(codec.encode("a", Line("x"))) is FrameFault.KIND
    assert FrameCodec(KEY, "g", ()).decode(codec.encode("a", Line("x"))) is FrameFault.KIND
    assert codec.decode(codec.encode("a", Probe("no number"))) is FrameFault.MALFORMED  # type: ignore[arg-type]
    assert codec.decode(codec.encode("a", Block(bytes(MAX_FRAME_BYTES)))) is FrameFault.TOO_LONG
    assert codec.decode(codec.encode("a", Block(bytes(2000))), 1200) is FrameFault.TOO_LONG
    assert codec.faults == {
        **dict.fromkeys(FrameFault, 0),
        FrameFault.DIGEST: 1,
        FrameFault.GROUP: 1,
        FrameFault.MALFORMED: 1,
        FrameFault.TOO_LONG: 2,
    }


def test_versions_during_a_rolling_upgrade() -> None:
    """The old program accepts 1, the one in between 1 and 2, the new one from 2: neighbours understand each other."""
    old, both, new = make_codec(), make_codec(versions=(1, 2)), make_codec(versions=(2, 3))
    sent = ("a", Probe(1))
    assert old.decode(both.encode(*sent)) == both.decode(old.encode(*sent)) == both.decode(new.encode(*sent)) == sent
    assert old.decode(new.encode(*sent)) is new.decode(both.encode(*sent)) is FrameFault.VERSION
    assert old.faults[FrameFault.VERSION] == 1


def test_added_fields_are_skipped_by_old_programs_and_defaulted_by_new_ones() -> None:
    class Newer(Message, frozen=True, tag="mb.probe"):
        number: int
        about: str = ""
        more: tuple[int, ...] = ()
        last: float = 0.5

    old, new = make_codec(), FrameCodec(KEY, "g", (Newer,))
    assert old.decode(new.encode("a", Newer(7, "b", (1, 2), 1.5))) == ("a", Probe(7, "b"))
    assert new.decode(old.encode("a", Probe(7, "b"))) == ("a", Newer(7, "b", (), 0.5))
    body = b"\x01" + msgspec.msgpack.encode(["g", "a", Probe(7), {"a field of the frame": 1}])
    assert old.decode(old._digest(body) + body) == ("a", Probe(7))


@pytest.mark.parametrize(
    "create",
    [
        lambda: FrameCodec(b"short", "g", ALL_MESSAGES),
        lambda: FrameCodec(b"l" * 65, "g", ALL_MESSAGES),
        lambda: FrameCodec(KEY, "", ALL_MESSAGES),
        lambda: FrameCodec(KEY, "g", (Probe, Probe)),
        lambda: make_codec(versions=(2, 1)),
        lambda: make_codec().encode("", Probe(1)),
        lambda: make_codec().encode("x" * (MAX_NAME_LENGTH + 1), Probe(1)),
    ],
)
def test_invalid_keys_names_and_versions_raise(create: object) -> None:
    with pytest.raises(ValueError):
        create()  # type: ignore[operator]


@given(st.lists(st.binary(min_size=DIGEST_BYTES + 1, max_size=60), max_size=6), st.integers(1, 50))
def test_a_stream_is_split_into_frames_in_pieces_of_any_size(sent: list[bytes], step: int) -> None:
    data, frames, received = b"".join(with_length(each) for each in sent), FrameReader(), []
    for offset in range(0, len(data), step):
        frames.feed(data[offset : offset + step])
        while (frame := frames.next_frame()) is not None:
            received.append(frame)
    assert received == sent


def test_frame_lengths_on_a_stream_are_bounded() -> None:
    for length, fault in [
        (MAX_FRAME_BYTES + 1, FrameFault.TOO_LONG),
        (2**32 - 1, FrameFault.TOO_LONG),
        (DIGEST_BYTES, FrameFault.SHORT),
        (0, FrameFault.SHORT),
    ]:
        frames = FrameReader()
        frames.feed(length.to_bytes(4, "big"))
        assert frames.next_frame() is fault
    frames = FrameReader()
    frames.feed(with_length(bytes(MAX_FRAME_BYTES)))
    assert frames.next_frame() == bytes(MAX_FRAME_BYTES) and frames.next_frame() is None
