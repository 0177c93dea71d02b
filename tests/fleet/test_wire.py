"""Frames: what comes out is what went in, whatever else comes is named and counted, old and new programs talk."""

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

from .fake_messages import ALL, Block, Line, Probe

KEY = b"sixteen bytes ok"


def wire(key: bytes = KEY, group: str = "g", **more: tuple[int, int]) -> FrameCodec:
    return FrameCodec(key, group, ALL, **more)


MESSAGES = st.one_of(
    st.builds(Probe, st.integers(-(2**63), 2**64 - 1), st.text()),
    st.builds(Line, st.text()),
    st.builds(Block, st.binary()),
    st.builds(Hello, st.integers(0, 2**60), st.tuples(st.text(), st.integers(0, 65535))),
)


@given(st.text(min_size=1, max_size=MAX_NAME_LENGTH), MESSAGES)
def test_what_comes_out_is_what_went_in(sender: str, message: Message) -> None:
    one = wire()
    assert one.decode(one.encode(sender, message)) == (sender, message)
    assert not any(one.faults.values())


@given(MESSAGES, st.data())
def test_any_byte_flipped_and_any_cut_is_dropped(message: Message, data: st.DataObject) -> None:
    one = wire()
    frame = bytearray(one.encode("a", message))
    place = data.draw(st.integers(0, len(frame) - 1))
    cut = one.decode(bytes(frame[:place]))
    assert cut is (FrameFault.SHORT if place <= DIGEST_BYTES else FrameFault.DIGEST)
    frame[place] ^= data.draw(st.integers(1, 255))
    assert one.decode(bytes(frame)) is FrameFault.DIGEST
    assert sum(one.faults.values()) == 2


@given(st.binary(max_size=300))
def test_garbage_is_dropped_with_and_without_the_key(data: bytes) -> None:
    one = wire()
    assert one.decode(data) in (FrameFault.SHORT, FrameFault.DIGEST)
    found = one.decode(one._digest(b"\x01" + data) + b"\x01" + data)  # from a program that has the key and is broken
    assert found in (FrameFault.MALFORMED, FrameFault.GROUP, FrameFault.KIND)


def test_nesting_without_end_is_dropped() -> None:
    one = wire()
    for deep in (b"\x91" * 100_000, b"\x93\xa1g\xa1a" + b"\x91" * 100_000):
        assert one.decode(one._digest(b"\x01" + deep) + b"\x01" + deep) is FrameFault.MALFORMED


def test_another_key_or_group_or_kind() -> None:
    one = wire()
    assert one.decode(wire(KEY[::-1]).encode("a", Probe(1))) is FrameFault.DIGEST
    assert one.decode(wire(group="h").encode("a", Probe(1))) is FrameFault.GROUP
    assert FrameCodec(KEY, "g", (Probe,)).decode(one.encode("a", Line("x"))) is FrameFault.KIND
    assert FrameCodec(KEY, "g", ()).decode(one.encode("a", Line("x"))) is FrameFault.KIND
    assert one.decode(one.encode("a", Probe("no number"))) is FrameFault.MALFORMED  # type: ignore[arg-type]
    assert one.decode(one.encode("a", Block(bytes(MAX_FRAME_BYTES)))) is FrameFault.TOO_LONG
    assert one.decode(one.encode("a", Block(bytes(2000))), 1200) is FrameFault.TOO_LONG
    assert one.faults == {
        **dict.fromkeys(FrameFault, 0),
        FrameFault.DIGEST: 1,
        FrameFault.GROUP: 1,
        FrameFault.MALFORMED: 1,
        FrameFault.TOO_LONG: 2,
    }


def test_versions_of_a_roll() -> None:
    """The old program speaks 1, the one in between 1 and 2, the new one 2 alone: neighbours understand each other."""
    old, both, new = wire(), wire(versions=(1, 2)), wire(versions=(2, 3))
    said = ("a", Probe(1))
    assert old.decode(both.encode(*said)) == both.decode(old.encode(*said)) == both.decode(new.encode(*said)) == said
    assert old.decode(new.encode(*said)) is new.decode(both.encode(*said)) is FrameFault.VERSION
    assert old.faults[FrameFault.VERSION] == 1


def test_fields_added_at_the_end_are_skipped_by_the_old_and_filled_in_by_the_new() -> None:
    class Newer(Message, frozen=True, tag="mb.probe"):
        number: int
        about: str = ""
        more: tuple[int, ...] = ()
        last: float = 0.5

    old, new = wire(), FrameCodec(KEY, "g", (Newer,))
    assert old.decode(new.encode("a", Newer(7, "b", (1, 2), 1.5))) == ("a", Probe(7, "b"))
    assert new.decode(old.encode("a", Probe(7, "b"))) == ("a", Newer(7, "b", (), 0.5))
    body = b"\x01" + msgspec.msgpack.encode(["g", "a", Probe(7), {"a field of the frame": 1}])
    assert old.decode(old._digest(body) + body) == ("a", Probe(7))


@pytest.mark.parametrize(
    "made",
    [
        lambda: FrameCodec(b"short", "g", ALL),
        lambda: FrameCodec(b"l" * 65, "g", ALL),
        lambda: FrameCodec(KEY, "", ALL),
        lambda: FrameCodec(KEY, "g", (Probe, Probe)),
        lambda: wire(versions=(2, 1)),
        lambda: wire().encode("", Probe(1)),
        lambda: wire().encode("x" * (MAX_NAME_LENGTH + 1), Probe(1)),
    ],
)
def test_what_can_not_be_made(made: object) -> None:
    with pytest.raises(ValueError):
        made()  # type: ignore[operator]


@given(st.lists(st.binary(min_size=DIGEST_BYTES + 1, max_size=60), max_size=6), st.integers(1, 50))
def test_a_stream_is_cut_into_frames_however_it_comes(sent: list[bytes], step: int) -> None:
    whole, frames, got = b"".join(with_length(each) for each in sent), FrameReader(), []
    for at in range(0, len(whole), step):
        frames.feed(whole[at : at + step])
        while (frame := frames.next_frame()) is not None:
            got.append(frame)
    assert got == sent


def test_a_stream_s_lengths_are_bounded() -> None:
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
