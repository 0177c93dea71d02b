"""The wallet in the program, with one voter: charging, operators' responses, rejections without a spender."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from limenotch.fleet.wallet import Wallet
from limenotch.fleet.wallet.api import Rejected, Reservation
from limenotch.fleet.wallet.tuning import Tuning
from limenotch.fleet_adapters.wallet import RequestCharger
from limenotch.net import http1
from limenotch.net.request import FinalResponse, Verdict
from limenotch.settings_file import parse
from tests.helpers.http_peers import DELIVER, LOOK, SETTINGS, Handler, fetch, reply, replying, with_new_id
from tests.helpers.processes import free_port, run, with_sidecar

from .test_fleet_off import serving

REJECTED = reply(503, (b"X-Rejected", b"1"))
LOOK_OF_OTHER_TENANT = LOOK.replace(b"acme", b"zeta")  # of a tenant without a wallet
TIER: dict[str, Any] = dict(SETTINGS)
TIER |= {
    "tenants": [{"name": "acme", "quota_per_s": 100.0}, {"name": "zeta", "quota_per_s": 100.0}],
    "permissions": {**TIER["permissions"], "retry_after": True, "max_retry_after_ms": 700.0},
}
CONFIG = {"settings": TIER}
TABLE = """
[fleet]
group = "g"
listen = "127.0.0.1:{port}"
key_file = "{folder}/key"
folder = "{folder}/data"
voters = ["n"]

[fleet.agreement]
heartbeat_ms = 20.0
election_least_ms = 60.0
election_most_ms = 90.0

[fleet.wallet]
tenants = ["acme"]
cost = {{deliver = 3}}
lease_ms = 400.0
idle_ms = 150.0
record_ms = 30.0
ask_ms = 3000.0
"""


class Program:
    """One sidecar in this process, and its operator."""

    def __init__(self, port: int, admin: int) -> None:
        self.port, self.admin = port, admin

    async def request(self, wire: bytes) -> http1.Message:
        return await fetch(self.port, wire)

    async def operator(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        data = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        answer = await fetch(self.admin, http1.write_request(method.encode(), path.encode(), [(b"Host", b"o")], data))
        content_type = answer.fields.get(b"content-type", b"")
        return answer.status, json.loads(answer.body) if content_type == b"application/json" else answer.body

    async def add_credit(self, credit_id: str, amount: int) -> tuple[int, Any]:
        return await self.operator("POST", "/fleet/wallets/acme", {"id": credit_id, "add": amount})

    async def wait_for_wallet(self) -> None:
        async with asyncio.timeout(20):
            while (await self.operator("GET", "/fleet/wallets"))[0] != 200:
                await asyncio.sleep(0.01)

    async def wallet_status(self) -> Any:
        return (await self.operator("GET", "/fleet"))[1]["parts"]["wallet"]

    async def serve(self, wire: bytes) -> None:
        """Until there is an allocation: requests before are rejected with 429."""
        async with asyncio.timeout(20):
            while (response := await self.request(wire)).status == 429:
                await asyncio.sleep(0.01)
        assert response.status == 200

    async def wait_until_settled(self) -> Any:
        """The wallet once nothing is allocated: all that was spent is recorded then."""
        async with asyncio.timeout(20):
            while (wallet := (await self.operator("GET", "/fleet/wallets/acme"))[1])["held"]:
                await asyncio.sleep(0.01)
        assert wallet["credit"] == wallet["spent"] + wallet["left"]
        return wallet


def play(
    folder: Path,
    handler: Handler,
    scenario: Callable[[Program], Coroutine[Any, Any, None]],
    table: str = TABLE,
    config: dict[str, Any] = CONFIG,
) -> None:
    (folder / "key").write_text("sixteen bytes ok")
    text = table.format(port=free_port(), folder=folder)
    admin = free_port()

    async def use(port: int) -> None:
        await scenario(Program(port, admin))

    run(with_sidecar(handler, use, settings=parse(text, "t"), extra={**config, "admin_addr": f"127.0.0.1:{admin}"}))


def test_operator_responses(tmp_path: Path) -> None:
    async def scenario(program: Program) -> None:
        await program.wait_for_wallet()
        operator = program.operator
        assert await operator("GET", "/fleet/wallets") == (200, {"wallets": {}, "text": ""})
        assert (await operator("GET", "/fleet/wallets/acme"))[0] == 404
        assert await program.add_credit("i1", 100) == (200, {"ok": True, "counted": False, "added": 100})
        assert await program.add_credit("i1", 100) == (200, {"ok": True, "counted": True, "added": 100})
        assert await program.add_credit("i1", 101) == (409, {"ok": False, "text": "id: was 100, not 101", "added": 100})
        assert await program.add_credit("i2", 7) == (200, {"ok": True, "counted": False, "added": 7})
        status, wallet = await operator("GET", "/fleet/wallets/ac%6De")
        assert (status, wallet["tenant"], wallet["credit"]) == (200, "acme", 107)
        assert wallet["credit"] == wallet["spent"] + wallet["left"] + wallet["held"] and wallet["spent"] == 0
        assert list((await operator("GET", "/fleet/wallets"))[1]["wallets"]) == ["acme"]
        path = "/fleet/wallets/acme"
        for body, text in [
            ({"id": "x"}, "`add`"),
            ({"add": 1}, "`id`"),
            ({"id": "", "add": 1}, "$.id"),
            ({"id": "x", "add": 0}, "$.add"),
            ({"id": "x", "add": 1.5}, "$.add"),
            ({"id": "x", "add": 1 << 61}, "$.add"),
            ({"id": "x" * 201, "add": 1}, "$.id"),
            ({"id": "x", "add": 1, "of": 2}, "`of`"),
            (b"{", "JSON"),
            (None, "JSON"),
        ]:
            status, data = await operator("POST", path, body)
            assert status == 400 and not data["ok"] and (text in data["text"] or "truncated" in data["text"]), data
        for tenant in ("", "zeta", "a" * 201):
            status, data = await operator("POST", f"/fleet/wallets/{tenant}", {"id": "x", "add": 1})
            assert status == 400 and data["text"].startswith("tenant: ")
        assert (await operator("DELETE", path))[0] == (await operator("POST", "/fleet/wallets", {}))[0] == 405
        assert (await program.wait_until_settled())["credit"] == 107

    play(tmp_path, replying(reply(200))[0], scenario)


def test_only_served_requests_are_charged_and_once(tmp_path: Path) -> None:
    # A repeat after a 500; a rejection; a failure; a failure that can't be repeated; and one served at once.
    answers = [reply(200), reply(500), reply(200), REJECTED, REJECTED, reply(500), reply(500), reply(200)]
    handler, requests_seen = replying(*answers)

    async def scenario(program: Program) -> None:
        await program.wait_for_wallet()
        response = await program.request(LOOK)
        assert (response.status, response.fields[b"retry-after"], response.body) == (429, b"0.700", b"")
        assert not requests_seen
        await program.add_credit("i", 1000)
        await program.serve(LOOK)
        statuses = [(await program.request(with_new_id(wire))).status for wire in (LOOK, DELIVER, DELIVER, DELIVER)]
        assert (statuses, len(requests_seen)) == ([200, 503, 502, 200], len(answers))
        assert (await program.request(LOOK_OF_OTHER_TENANT)).status == 200
        wallet = await program.wait_until_settled()
        assert (wallet["spent"], wallet["left"]) == (1 + 1 + 3, 995)
        calls = (await program.wallet_status())["calls"]
        assert (calls["charged"], calls["given_back"], calls["reserved"]) == (5, 6, 0)

    play(tmp_path, handler, scenario)


def test_disconnected_client_is_not_charged(tmp_path: Path) -> None:
    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = http1.RequestParser()
        while data := await reader.read(65536):
            parser.feed(data)
            if (request := parser.take()) is None:
                continue
            if request.method == b"GET":
                writer.write(reply(200))
            else:
                arrived.set()
                await reader.read()  # until the sidecar gives up
        writer.close()

    arrived = asyncio.Event()

    async def scenario(program: Program) -> None:
        await program.wait_for_wallet()
        await program.add_credit("i", 100)
        await program.serve(LOOK)
        async with asyncio.timeout(20):
            while not arrived.is_set():  # rejected while there is no allocation of three units yet
                reader, writer = await asyncio.open_connection("127.0.0.1", program.port)
                writer.write(DELIVER)
                tasks = [asyncio.ensure_future(arrived.wait()), asyncio.ensure_future(reader.read(1))]
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in tasks:
                    task.cancel()
                writer.close()
            while (await program.wallet_status())["calls"]["reserved"]:
                await asyncio.sleep(0.01)
        assert (await program.wait_until_settled())["spent"] == 1
        calls = (await program.wallet_status())["calls"]
        assert (calls["charged"], calls["given_back"]) == (1, 3)

    play(tmp_path, handler, scenario)


def test_without_a_log_only_tenants_with_a_wallet_are_rejected(tmp_path: Path) -> None:
    (tmp_path / "data").write_text("a file where a folder should be")

    async def scenario(program: Program) -> None:
        async with asyncio.timeout(20):
            while "no log" not in (await program.wallet_status())["why"]:
                assert (await program.request(LOOK)).status == 429  # from the start
                await asyncio.sleep(0.01)
        for wire, status in ((LOOK, 429), (LOOK_OF_OTHER_TENANT, 200), (DELIVER, 429)):
            assert (await program.request(wire)).status == status
        assert (await program.operator("GET", "/fleet/wallets"))[0] == 503
        assert (await program.add_credit("i", 5))[0] == 503

    play(tmp_path, replying(reply(200))[0], scenario)


@pytest.mark.parametrize("stopped", ["the component", "the log", "the spender"])
def test_after_a_fault_only_tenants_with_a_wallet_are_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, stopped: str
) -> None:
    async def scenario(program: Program) -> None:
        await program.wait_for_wallet()
        await program.add_credit("i", 100)
        await program.serve(LOOK)

        def fault(*about: Any) -> Any:
            raise ZeroDivisionError("injected")

        target = {
            "the component": "limenotch.fleet.wallet.core.Wallet.handle",
            "the spender": "limenotch.fleet.wallet.allocations.Spender.reserve",
            "the log": "limenotch.fleet.consensus.Consensus.handle",
        }
        monkeypatch.setattr(target[stopped], fault)
        async with asyncio.timeout(20):
            while (await program.request(LOOK)).status != 429:
                await asyncio.sleep(0.01)
        assert (await program.wallet_status())["state"] == "off"
        for wire, status in ((LOOK, 429), (LOOK_OF_OTHER_TENANT, 200), (DELIVER, 429)):
            assert (await program.request(wire)).status == status

    play(tmp_path, replying(reply(200))[0], scenario)


def test_repeat_of_a_charged_request_is_free_with_and_without_spender() -> None:
    async def case() -> None:
        charger, spender = new_charger({"free": 0})
        for number, request in enumerate(
            [make_request(1, charged=True), make_request(2, class_name="free"), make_request(3, tenant="zeta")]
        ):
            assert charger.request_received(request) is None, number
        assert charger.request_received(make_request(4)) == FinalResponse(
            Verdict.REJECTED, retry_after_ms=5000.0, quota_exhausted=True
        )
        charger.spender = spender
        assert charger.request_received(make_request(5, charged=True)) is None
        assert spender.calls == [("reserve", "acme", "look", True)]

    run(case())


def test_each_reservation_ends_once() -> None:
    async def case() -> None:
        charger, spender = new_charger()
        charger.spender = spender
        final_responses = {
            1: FinalResponse(Verdict.SERVED),
            2: FinalResponse(Verdict.REJECTED),
            3: FinalResponse(Verdict.FAILED),
            4: None,
        }
        for number, final in final_responses.items():
            request = make_request(number)
            assert charger.request_received(request) is None
            request.final = final
            charger.request_closed(request)
            charger.request_closed(request)
        assert [call[0] for call in spender.calls if call[0] != "reserve"] == ["charge", *["release"] * 3]
        assert charger.status()["reserved"] == 0
        spender.units = 0
        decision = charger.request_received(make_request(5))
        assert isinstance(decision, FinalResponse) and decision.quota_exhausted and decision.retry_after_ms == 321.0
        charger.request_closed(make_request(5))
        assert len(spender.calls) == 9

    run(case())


def test_changed_demand_is_notified_once_in_a_separate_loop_iteration() -> None:
    async def case() -> None:
        events: list[int] = []
        charger, spender = new_charger(events=events)
        charger.spender = spender
        spender.changed = True
        for number in range(3):
            request = make_request(number)
            charger.request_received(request)
            charger.request_closed(request)
        assert not events
        await asyncio.sleep(0)
        assert events == [1]
        charger.request_received(make_request(9))
        await asyncio.sleep(0)
        assert events == [1, 1]

    run(case())


def test_spender_fault_at_the_end_of_a_request_does_not_fail_it() -> None:
    async def case() -> None:
        charger, spender = new_charger()
        charger.spender = spender
        request = make_request(1)
        charger.request_received(request)
        spender.broken = True
        charger.request_closed(request)
        assert (
            charger.is_unavailable
            and charger.request_received(make_request(2)) is not None
            and charger.request_received(make_request(3, tenant="zeta")) is None
        )

    run(case())


class FakeSpender:
    """A spender of ten units that records its calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.units, self.changed, self.broken = 10, False, False

    def reserve(
        self, now: float, tenant: str, request_class: str, already_charged: bool = False
    ) -> Reservation | Rejected:
        self.calls.append(("reserve", tenant, request_class, already_charged))
        if already_charged:
            return Reservation(tenant, 0)
        if not self.units:
            return Rejected(321.0)
        return Reservation(tenant, 1, ((1, 1),))

    def charge(self, now: float, reservation: Reservation) -> None:
        self._end("charge", reservation)

    def release(self, now: float, reservation: Reservation) -> None:
        self._end("release", reservation)

    def _end(self, event: str, reservation: Reservation) -> None:
        if self.broken:
            raise ZeroDivisionError("injected")
        self.calls.append((event, reservation.tenant, reservation.cost))

    def has_changes(self) -> bool:
        return self.changed

    def status(self) -> dict[str, Any]:
        return {}


def new_charger(
    cost: dict[str, int] | None = None, events: list[int] | None = None
) -> tuple[RequestCharger, FakeSpender]:
    sent = events if events is not None else []
    charger = RequestCharger(
        Tuning(tenants=("acme",), cost=cost or {}), lambda: sent.append(1), SimpleNamespace(stopped=())
    )
    return charger, FakeSpender()


def make_request(number: int, tenant: str = "acme", class_name: str = "look", charged: bool = False) -> Any:
    return SimpleNamespace(number=number, tenant=tenant, class_name=class_name, already_charged=charged, final=None)


def test_without_the_table_the_component_is_not_imported(tmp_path: Path) -> None:
    async def case() -> None:
        voter = f'voters = ["n"]\nfolder = "{tmp_path}/data"\n'
        found = []
        for table in (voter, voter + '[fleet.wallet]\ntenants = ["acme"]\nother_cost = 0\n'):
            async with serving(tmp_path, "n", table) as sidecar:
                modules = await sidecar.end()
            found.append({name for name in modules if "wallet" in name or name == "limenotch.net.admin.wallet"})
        assert found[0] == {"limenotch.fleet.wallet", "limenotch.fleet.wallet.tuning"}  # what settings are read by
        assert found[1] >= {Wallet.__module__, "limenotch.fleet_adapters.wallet", "limenotch.net.admin.wallet"}

    asyncio.run(case())
