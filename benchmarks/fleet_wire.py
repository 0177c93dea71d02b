"""CPU time of a probe between sidecars: encoding its frame, decoding it, and dropping a forged one.

    python -m benchmarks.fleet_wire [ROUNDS]

Microseconds each, the best of five turns; for comparison of machines, a plain BLAKE2b of the same bytes.
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
SENDER = SenderInfo(("10.0.0.1", 7400), 1_790_000_000_000_000, 3)
CLAIMS = tuple(Claim(f"sidecar-{n}", 1, ("10.0.0.1", 7400), 1_790_000_000_000_000, n, "sidecar-7") for n in range(10))


def microseconds(operation: Callable[[], object], rounds: int) -> float:
    """The best mean of five turns, in microseconds."""
    best = float("inf")
    for _ in range(5):
        started_s = perf_counter()
        for _ in range(rounds):
            operation()
        best = min(best, perf_counter() - started_s)
    return best / rounds * 1e6


def main() -> None:
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 20_000
    codec = FrameCodec(KEY, "tier-front", get_args(MembershipMessage))
    probes: list[tuple[str, Message]] = [
        ("bare", Ping(12345, "sidecar-2", SENDER)),
        ("with 10 news", Ping(12345, "sidecar-2", SENDER, CLAIMS)),
    ]
    for name, probe in probes:
        frame = codec.encode("sidecar-1", probe)
        assert codec.decode(frame) == ("sidecar-1", probe)
        forged = bytes([frame[0] ^ 1]) + frame[1:]
        print(f"probe, {name}: {len(frame)} bytes")
        for label, operation in [
            ("encode", lambda probe=probe: codec.encode("sidecar-1", probe)),
            ("decode", lambda frame=frame: codec.decode(frame)),
            ("drop a forged one", lambda forged=forged: codec.decode(forged)),
            ("plain BLAKE2b", lambda frame=frame: blake2b(frame, key=KEY, digest_size=DIGEST_BYTES).digest()),
        ]:
            print(f"  {label:<18} {microseconds(operation, rounds):6.2f} us")


if __name__ == "__main__":
    main()
