"""The code under test by its current names: the only file of this folder that follows renames in the program."""

from __future__ import annotations

import io
import re
import tempfile
from pathlib import Path
from typing import Any, get_args

from limenotch.balancing.settings import read_settings
from limenotch.balancing.simulator_adapter import SimulatorAdapter
from limenotch.cli import USAGE, check_config
from limenotch.cli import serve as serve_command
from limenotch.fleet.affinity import messages as bindings_messages
from limenotch.fleet.consensus import log as agreement_log
from limenotch.fleet.consensus import messages as agreement_messages
from limenotch.fleet.interfaces import Message
from limenotch.fleet.membership import messages as membership_messages
from limenotch.fleet.rules import endpoint_list_messages as rules_listing
from limenotch.fleet.rules import entries as rules_entries
from limenotch.fleet.rules import messages as rules_messages
from limenotch.fleet.rules import versioned_rules as rules_book
from limenotch.fleet.settings import parse_with
from limenotch.fleet.wallet import entries as wallet_entries
from limenotch.fleet.wallet import ledger as wallet_book
from limenotch.fleet.wallet import messages as wallet_messages
from limenotch.fleet.wire import FrameCodec, tag_of
from limenotch.fleet_adapters.base import message_types
from limenotch.fleet_node import PATH
from limenotch.load_balancer import LoadBalancer
from limenotch.load_balancer_types import AttemptEnding, DiscoveredEndpoint, StartAttempt
from limenotch.metrics import Metrics
from limenotch.net.admin import log, rules, server, wallet
from limenotch.net.discovery.endpoint_list import parse_list
from limenotch.operator_ejections import decode as read_bans
from limenotch.operator_ejections import encode as written_bans
from limenotch.settings import Settings
from limenotch.settings_file import effective
from limenotch.store import records
from limenotch.store.files import RealFiles
from limenotch.store.log import Store
from limenotch.store.records import Append, LogEntry, Snapshot, TermVote

__all__ = [
    "USAGE",
    "Append",
    "AttemptEnding",
    "LoadBalancer",
    "LogEntry",
    "RealFiles",
    "Settings",
    "SimulatorAdapter",
    "Snapshot",
    "StartAttempt",
    "Store",
    "TermVote",
    "check_config",
    "effective",
    "read_bans",
    "records",
    "serve_command",
    "tag_of",
    "written_bans",
]

MESSAGES: tuple[type[Message], ...] = (
    *get_args(membership_messages.MembershipMessage),
    *message_types(agreement_messages),
    *message_types(wallet_messages),
    *message_types(rules_messages),
    *message_types(rules_listing),
    *message_types(bindings_messages),
)
RECORDS: dict[str, Any] = {
    "store entry": records.LogEntry,
    "store ballot": records.TermVote,
    "store append": records.Append,
    "store snapshot": records.Snapshot,
    "log voters": agreement_log.Voters,
    "log state": agreement_log.SnapshotPayload,
    "wallet credit": wallet_entries.Credit,
    "wallet grant": wallet_entries.Grant,
    "wallet settle": wallet_entries.Settle,
    "wallet expire": wallet_entries.Expire,
    "wallet advance": wallet_entries.Advance,
    "wallet state": wallet_book._State,
    "rules put": rules_entries.Put,
    "rules ban": rules_entries.Out,
    "rules activate": rules_entries.Activate,
    "rules try": rules_entries.Try,
    "rules end of a try": rules_entries.EndTry,
    "rules state": rules_book._State,
    "lists agree": rules_listing.AgreedChange,
    "lists state": rules_listing.AgreedState,
    "promises state": dict[str, tuple[int, bytes]],
    "promises entry": tuple[str, bytes],
    "states of all parts": dict[str, bytes],
}
KEY = b"sixteen bytes ok"
FLEET = """
[fleet]
group = "g"
listen = "127.0.0.1:7400"
key_file = "{key_file}"
name = "a"
seeds = ["127.0.0.1:7401"]
voters = ["a", "b", "c"]
folder = "/var/lib/limenotch"
[fleet.addresses]
b = "127.0.0.1:7401"
[fleet.membership]
[fleet.agreement]
[fleet.rules]
[fleet.rules.canary]
[fleet.wallet]
tenants = ["*"]
[fleet.bindings]
session = "x-session"
"""
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "look", "effect": "idempotent", "target_ms": 400, "hard_limit_ms": 900, "worth": 3},
        {"name": "book", "effect": "at_most_once", "target_ms": 600, "hard_limit_ms": 900},
    ],
    "tenants": [{"name": "t1", "quota_per_s": 50}],
    "balancers": 2,
    "rank": 1,
    "zones": ["za", "zb"],
    "weights": "on",
    "rules": {"start_capacity": 0.2, "cold_ms": 5000},
}
LIST: dict[str, Any] = {
    "from": "127.0.0.1:8500",
    "index": 41,
    "snapshot": True,
    "endpoints": [
        {"name": f"e{number}", "address": f"127.0.0.1:{9000 + number}", "zone": "za" if number % 2 else "zb",
         "type": "large" if number % 3 else "small", "group": number, "status": status, "weight": 1.0 + number / 4,
         "since_ms": since}
        for number, status, since in [(0, "in_service", 0.0), (1, "in_service", 1796255990000.0),
                                      (2, "in_service", 0.0), (3, "terminating", 0.0)]
    ],
}  # fmt: skip
SIMULATOR_INPUT = """\
BATCH at_time_ms=0.0
LAUNCH balancer_id=0 seed=7 env={"classes":[{"name":"look","effect":"idempotent","target_ms":100,"hard_limit_ms":400},\
{"name":"book","effect":"at_most_once","target_ms":100,"hard_limit_ms":400}],"registry_mode":"ask","balancers":2,\
"tenants":[{"name":"t","quota_per_s":20}],"permissions":{"retry_after":true,"max_retry_after_ms":500},\
"rules":{"start_capacity":0.2,"cold_ms":3000}}
REGISTER sheet=0 hosts=3
ROW nominal=1 hw=0 locality=0 unit_group=0 upstream=10.0.0.1:80 stage_state=ready
ROW nominal=1.5 hw=1 locality=1 unit_group=1 started_at_ms=-100.0 upstream=10.0.0.2:80 stage_state=ready
ROW nominal=1 hw=0 locality=0 unit_group=2 upstream=10.0.0.3:80 stage_state=draining
MEMBERSHIP balancer_id=0 how=stale_copy serial=1 sheet=0
EOF_BATCH
BATCH at_time_ms=10.0
KNOCK balancer_id=0 handle=r1 kind=0 budget_ms=350 party=0
KNOCK balancer_id=0 handle=r2 kind=1 budget_ms=350 party=0 resent=1
KNOCK balancer_id=0 handle=r3 kind=0 budget_ms=0 party=0
EOF_BATCH
BATCH at_time_ms=30.0
RESULT balancer_id=0 handle=r1 upstream=10.0.0.1:80 copy=0 spent_ms=20 how=100 closed=1 report=util:0.3,qps:50
RESULT balancer_id=0 handle=r2 upstream=10.0.0.1:80 copy=0 spent_ms=20 how=302
KNOCK balancer_id=0 handle=r4 kind=1 budget_ms=350 party=0
CHECKED balancer_id=0 upstream=10.0.0.1:80
EOF_BATCH
BATCH at_time_ms=60.0
RESULT balancer_id=0 handle=r4 upstream=10.0.0.1:80 copy=0 spent_ms=20 how=305
MEMBERSHIP balancer_id=0 how=broken serial=1 sheet=0
KNOCK balancer_id=0 handle=r5 kind=0 budget_ms=350 party=0
EOF_BATCH
BATCH at_time_ms=400.0
LEFT balancer_id=0 handle=r5
TIMER balancer_id=0 ctx=1
TIMER balancer_id=0 ctx=2
TEARDOWN balancer_id=0
EOF_BATCH
"""


class Clock:
    """A clock of Unix time in ms that changes only when `ms` is set."""

    def __init__(self) -> None:
        self.ms = 1796256000000.0

    def __call__(self) -> float:
        return self.ms


def wire() -> FrameCodec:
    """Returns a codec with the key and the group of the frozen frames."""
    return FrameCodec(KEY, "group", MESSAGES)


def facade(clock: Clock) -> LoadBalancer:
    """Returns a load balancer that uses the manual clock."""
    return LoadBalancer(read_settings(SETTINGS), 7, SETTINGS["zones"], ["small", "large"], clock=clock)


def listed() -> list[DiscoveredEndpoint]:
    """Returns the entries of LIST."""
    listing = parse_list(LIST)
    assert listing is not None
    return listing.entries


def opened(folder: Path) -> tuple[records.StoredLog, str | None]:
    """Returns the content of the store in this folder, and what was cut off its torn end."""
    files = RealFiles(folder)
    store = Store(files)
    stored = store.open()
    torn_end = store.torn_end
    store.close()
    files.release()
    return stored, torn_end


def parse(text: str, name: str) -> Any:
    """Parses a settings file with a `[fleet]` table. Raises toml.FaultError."""
    return parse_with(text, name)


def figures() -> bytes:
    """Returns the metrics of a process that has counted each event once."""
    metrics = Metrics()
    metrics.register_classes(["look"])
    metrics.count_taken()
    for end in ("answered", "deferred", "errored", "departed"):
        metrics.count_ended("look", end)
    metrics.count_sent("look")
    metrics.count_reload(True)
    metrics.count_reload(False)
    return metrics.render({"current": 1, "cluster_size": 2, "cluster_unhealthy": 0.5})


def paths() -> list[str]:
    """Returns the paths of the operators' address."""
    return sorted([server.HEALTH, server.STATS, server.ENDPOINTS, PATH, wallet.WALLETS, log.PROMISES,
                   log.VOTERS, rules.RULES_PATH])  # fmt: skip


_key_file: Path | None = None


def key_file() -> str:
    """Returns the path of a file that contains KEY."""
    global _key_file
    if _key_file is None:
        _key_file = Path(tempfile.mkdtemp()) / "key"
        _key_file.write_bytes(KEY)
    return str(_key_file)


def played(adapter: type, lines: str) -> str:
    """Returns what the simulator adapter writes when it reads these lines."""
    sink = io.StringIO()
    adapter(io.StringIO(lines), sink).run()
    return sink.getvalue()


def environment(sources: list[str]) -> list[str]:
    """Returns the environment variables that these source texts read."""
    return sorted({name for text in sources for name in re.findall(r"\b(?:LB|LIMENOTCH)_[A-Z_]+\b", text)})
