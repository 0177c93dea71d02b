"""The affinity table in real processes: clients return through other sidecars while faults are injected.

The commands of `ask` and their checks are in fleet/returning_clients.py.
"""

from __future__ import annotations

import asyncio
import json
import signal
from contextlib import suppress
from pathlib import Path
from typing import Any

from limenotch.lab import planning, scenario
from limenotch.lab.emulate.sidecars import SidecarError, free_port
from limenotch.lab.fleet import drawing, weather
from limenotch.lab.fleet.processes import NotReachedError, Processes
from limenotch.lab.fleet.stage import Outcome, relayed_fleet_settings
from limenotch.net import http1
from tests.helpers.http_peers import DELIVER, LOOK, read_response, with_new_id

from .returning_clients import RecordingStage, ReturningClients
from .test_fleet_node import FAST, wait_for_states
from .test_fleet_off import Sidecar, serving
from .test_log_processes import AGREEMENT, MEMBERSHIP
from .test_rules_processes import RULES_TABLE

LATE_S = 1.0  # after SIGTERM: connections are kept for 1.8 s

SCENARIO = """
name = "bindings"
length_s = {length_s}
[sidecars]
count = {count}
[clients]
rate_per_s = 50
retries = 2
backoff_ms = [150, 300]
[network]
zones = ["z1", "z2"]
same_ms = 0.01
cross_ms = [0.01, 0.02]
[[tier]]
name = "only"
providers = 6
[[tier.kind]]
name = "k"
slots = 4
queue = 4
error_rate = 0.03
[[class]]
name = "free"
work_ms = 2
aim_ms = 300
deadline_ms = 600
[[class]]
name = "keyed"
share = 0.5
work_ms = 2
aim_ms = 300
deadline_ms = 600
effect = "deduplicated"
scope = "zone"
window_s = 60
[[class]]
name = "once"
share = 0.2
work_ms = 2
aim_ms = 300
deadline_ms = 600
effect = "at_most_once"
"""
BINDINGS: dict[str, Any] = {"session": "X-Session", "digest_ms": 400.0}


class NotJoinedError(Exception):
    """The processes did not join in time."""


def play(
    text: str, folder: Path, rules: bool = False, bindings: dict[str, Any] | None = BINDINGS
) -> tuple[Outcome, ReturningClients]:
    """Plays the timeline, in up to three tries if the processes do not join: a free port may be taken meanwhile."""
    for number in range(3):
        subfolder = folder / str(number)
        subfolder.mkdir()
        with suppress(NotJoinedError, SidecarError):
            return play_once(text, subfolder, rules, bindings)
    raise AssertionError("the processes did not join in three tries")


def play_once(
    text: str, folder: Path, rules: bool, bindings: dict[str, Any] | None
) -> tuple[Outcome, ReturningClients]:
    timeline = drawing.parse_timeline(text)
    scenario_text = SCENARIO.format(length_s=timeline.end_ms / 1000.0, count=len(timeline.nodes))
    plan = planning.plan(scenario.parse(scenario_text, "bindings"), 3)
    key = folder / "key"
    key.write_text("a key for tests, of 16 bytes or more")
    clients = ReturningClients()
    sections: Any = {"membership": MEMBERSHIP, "agreement": AGREEMENT}
    if bindings is not None:
        sections["bindings"] = bindings
    fleet = relayed_fleet_settings(timeline.nodes, key, tuple("abc") if rules else (), **sections)

    async def run_case() -> Outcome:
        bench = RecordingStage(
            plan,
            folder,
            timeline,
            weather.NetworkConditions(timeline.seed),
            handle_request=clients.execute,
            fleet_settings=lambda stage, node: fleet(stage, node) + (RULES_TABLE if rules else ""),
        )
        clients.stage, clients.running = bench, list(timeline.nodes)

        async def wait_until_joined(processes: Processes) -> None:
            def is_joined(name: str, state: dict[str, Any]) -> bool:
                parts, alive = state["parts"], sum(member["state"] == "alive" for member in state["members"])
                return (
                    alive == len(timeline.nodes)
                    and (not rules or parts["rules"].get("state") == "leased")
                    and (bindings is None or parts["bindings"]["state"] == "whole")
                )

            try:
                await processes.wait_until_all(is_joined, 12, "all are together")
            except NotReachedError as error:
                raise NotJoinedError(str(error)) from None

        try:
            outcome = await bench.run_timeline(wait_until_joined)
            clients.repeats += sum(process.ledger.repeats for process in bench.fleet.all_processes[0])
            if not any(str(fault).startswith(("kill", "cut")) for _, fault in timeline.faults) and bindings is not None:
                # With a kill or a partition, keys whose updates did not reach the other sidecars may run again.
                assert not sum(process.ledger.double for process in bench.fleet.all_processes[0])
            return outcome
        finally:
            await bench.close()

    outcome = asyncio.run(asyncio.wait_for(run_case(), 120))
    outcome.check()
    assert outcome.calls["served"] > 50
    return outcome, clients


def test_keys_and_sessions_stay_through_all_sidecars_until_their_endpoints_are_removed(tmp_path: Path) -> None:
    _, clients = play(
        """
nodes: a b c

ms     faults
100    ask a key k1, ask b key k2
101    ask b again k1, ask c again k1, ask a again k2, ask c again k2
102    ask c session s1
103    ask a same s1, ask b same s1, ask c same s1
104    ask a drain s1
105    ask b moved s1
106    ask a same s1, ask b same s1, ask c same s1
107    ask c ban s1
108    ask a moved s1
109    ask b same s1, ask c same s1, ask a same s1
110    ask a again k1, ask b again k1
111    ask b drop k1
112    ask a refused k1, ask b refused k1, ask c refused k1
113    ask a key k3
114    ask b again k3, ask c again k3
3500
""",
        tmp_path,
        rules=True,
    )
    for key in ("k1", "k2", "k3"):
        assert clients.recorder.zones_of[key] == {clients.zones[key]}
    assert clients.repeats > 10


def test_five_sidecars_with_a_kill_a_restart_and_a_partition(tmp_path: Path) -> None:
    _, clients = play(
        """
nodes: a b c d e

ms     faults
100    ask a key k1, ask d key k2, ask e key k3
101    ask c session s1
102    kill e
103    ask a key k4, ask a session s2
104    ask b again k3, ask c same s1
105    start e
106    ask e alone 5, ask e whole
107    ask e again k1, ask e again k2, ask e again k3, ask e again k4
108    ask e same s1, ask e same s2
109    cut d e | a b c
110    ask a alone 3, ask d alone 2
111    ask a key k5, ask d key k6, ask b again k5, ask e again k6, ask d again k1, ask b again k2
112    ask a session s3, ask d session s4, ask a key k7, ask e apart k7, ask b session s5, ask d apart s5
113    heal
114    ask a alone 5, ask b alone 5, ask c alone 5, ask d alone 5, ask e alone 5
115    ask a whole, ask b whole, ask c whole, ask d whole, ask e whole
116    ask d again k5, ask e again k5, ask a again k6, ask b again k6, ask c again k6
117    ask e same s3, ask d same s3, ask a same s4, ask c same s4, ask b same s4
118    ask a agree k7, ask b agree s5
4500
""",
        tmp_path,
    )
    for key in ("k1", "k2", "k3", "k4", "k5", "k6"):
        assert clients.recorder.zones_of[key] == {clients.zones[key]}, key


def test_keys_run_twice_without_bindings(tmp_path: Path) -> None:
    # Shows that the check of the other tests can fail.
    _, clients = play("\nnodes: a b c\n\nms     faults\n100    ask a twice\n2500\n", tmp_path, bindings=None)
    assert any(len(clients.recorder.zones_of[f"k{number}"]) == 2 for number in range(8))
    assert sum(process.ledger.double for process in clients.recorder.fleet.all_processes[0]) > 0


def test_closed_connections_and_reloaded_settings_are_applied(tmp_path: Path) -> None:
    async def run_case() -> None:
        table = "[fleet.bindings]\nconnections = true\n"
        async with serving(tmp_path, "n", table) as sidecar, asyncio.timeout(20):
            await until(sidecar, state="whole", consumers=0)
            reader, writer = await asyncio.open_connection("127.0.0.1", sidecar.port)
            parser = http1.ResponseParser()
            for _ in range(3):
                writer.write(LOOK)
                assert (await read_response(reader, parser)).status == 200
            await until(sidecar, consumers=1, providers=1, window_ms=9000.0)
            writer.close()
            await until(sidecar, consumers=0)
            file = tmp_path / "n.json"
            config = json.loads(file.read_text())
            config["settings"]["classes"][1]["window_ms"] = 12_000.0
            file.write_text(json.dumps(config))
            sidecar.process.send_signal(signal.SIGHUP)
            await until(sidecar, window_ms=12_000.0)

    asyncio.run(run_case())


async def until(sidecar: Sidecar, **expected: Any) -> None:
    while True:
        found = (await sidecar.status())["parts"]["bindings"]
        if {key: found[key] for key in expected} == expected:
            return
        await asyncio.sleep(0.02)


def test_the_component_is_imported_only_if_configured(tmp_path: Path) -> None:
    async def run_case() -> None:
        async with serving(tmp_path, "off", "") as off, serving(tmp_path, "on", "[fleet.bindings]\n") as on:
            assert "bindings" not in (await off.status())["parts"]
            assert "bindings" in (await on.status())["parts"]
            names = [set(await each.end()) for each in (off, on)]
        found = [{name for name in each if "affinity" in name} for each in names]
        # The settings reader imports the type of the settings table.
        assert found[0] == {"limenotch.fleet.affinity", "limenotch.fleet.affinity.tuning"}
        assert found[1] >= {"limenotch.fleet_adapters.affinity", "limenotch.fleet.affinity.core"}

    asyncio.run(run_case())


def test_a_key_taken_late_in_a_shutdown_is_known_to_the_other_sidecar(tmp_path: Path) -> None:
    # Guards review/1: a sidecar that ends took keyed calls for longer than it had its fleet's sockets open (0.5 s).
    async def run_case() -> None:
        seed = free_port()
        table = f'seeds = ["127.0.0.1:{seed}"]\n{FAST}[fleet.bindings]\n'
        async with (
            serving(tmp_path, "a", table, seed) as ending,
            serving(tmp_path, "b", table) as staying,
            asyncio.timeout(20),
        ):
            for sidecar in (ending, staying):
                await wait_for_states([sidecar], a="alive", b="alive")
                await until(sidecar, state="whole")
            reader, writer = await asyncio.open_connection("127.0.0.1", ending.port)
            parser = http1.ResponseParser()
            writer.write(LOOK)
            assert (await read_response(reader, parser)).status == 200
            assert not (await staying.status())["parts"]["bindings"]["held"]
            ending.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(LATE_S)
            writer.write(with_new_id(DELIVER))
            assert (await read_response(reader, parser)).status == 200
            await until(staying, held=1)
            writer.close()
            assert await ending.process.wait() == 0

    asyncio.run(run_case())
