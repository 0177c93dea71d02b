"""What a probe between sidecars costs: its frame made, its frame read, and what is dropped at the door.

    python -m benchmarks.fleet_wire [ROUNDS]

Microseconds each, the best of five turns; beside it a plain BLAKE2b of the same bytes, to tell machines apart.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from hashlib import blake2b
from time import perf_counter
from typing import get_args

from limenotch.fleet.interfaces import Message
from limenotch.fleet.membership.messages import Claim, MembershipMessage, Ping, SenderInfo
from limenotch.fleet.wire import DIGEST_BYTES, FrameCodec

KEY = b"of a benchmark only"
ME = SenderInfo(("10.0.0.1", 7400), 1_790_000_000_000_000, 3)
NEWS = tuple(Claim(f"sidecar-{n}", 1, ("10.0.0.1", 7400), 1_790_000_000_000_000, n, "sidecar-7") for n in range(10))


def cost(act: Callable[[], object], rounds: int) -> float:
    """Microseconds."""
    best = float("inf")
    for _ in range(5):
        began = perf_counter()
        for _ in range(rounds):
            act()
        best = min(best, perf_counter() - began)
    return best / rounds * 1e6


def main() -> None:
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 20_000
    wire = FrameCodec(KEY, "tier-front", get_args(MembershipMessage))
    probes: list[tuple[str, Message]] = [
        ("bare", Ping(12345, "sidecar-2", ME)),
        ("with 10 news", Ping(12345, "sidecar-2", ME, NEWS)),
    ]
    for name, probe in probes:
        frame = wire.encode("sidecar-1", probe)
        assert wire.decode(frame) == ("sidecar-1", probe)
        forged = bytes([frame[0] ^ 1]) + frame[1:]
        print(f"probe, {name}: {len(frame)} bytes")
        for what, act in [
            ("encode", lambda probe=probe: wire.encode("sidecar-1", probe)),
            ("decode", lambda frame=frame: wire.decode(frame)),
            ("drop a forged one", lambda forged=forged: wire.decode(forged)),
            ("plain BLAKE2b", lambda frame=frame: blake2b(frame, key=KEY, digest_size=DIGEST_BYTES).digest()),
        ]:
            print(f"  {what:<18} {cost(act, rounds):6.2f} us")


if __name__ == "__main__":
    main()
