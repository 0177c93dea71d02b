"""The wallet in the program: what calls pay at their ends, what operators are answered, and who is turned away where
there is no purse to trust. One voter, so that all is agreed at once; the fleet of several is in test_wallet_processes.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from limenotch.fleet.wallet import Wallet
from limenotch.fleet.wallet.api import Reservation, Turned
from limenotch.fleet.wallet.tuning import Tuning
from limenotch.fleet_adapters.wallet import Till
from limenotch.net import http1
from limenotch.net.request import FinalResponse, Verdict
from limenotch.settings_file import parse
from tests.helpers.http_peers import DELIVER, LOOK, SETTINGS, Handler, answering, ask, renamed, whole
from tests.helpers.processes import free_port, run, with_sidecar

from .test_fleet_off import serving

REJECTED = whole(503, (b"X-Rejected", b"1"))
OTHER = LOOK.replace(b"acme", b"zeta")  # of a tenant that does not pay
TIER: dict[str, Any] = dict(SETTINGS)
TIER |= {
    "tenants": [{"name": "acme", "quota_per_s": 100.0}, {"name": "zeta", "quota_per_s": 100.0}],
    "permissions": {**TIER["permissions"], "retry_after": True, "max_retry_after_ms": 700.0},
}
MORE = {"settings": TIER}
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

    async def call(self, wire: bytes) -> http1.Message:
        return await ask(self.port, wire)

    async def operator(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        content = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        answer = await ask(self.admin, http1.write_request(method.encode(), path.encode(), [(b"Host", b"o")], content))
        kind = answer.fields.get(b"content-type", b"")
        return answer.status, json.loads(answer.body) if kind == b"application/json" else answer.body

    async def add(self, ident: str, amount: int) -> tuple[int, Any]:
        return await self.operator("POST", "/fleet/wallets/acme", {"id": ident, "add": amount})

    async def begun(self) -> None:
        """Until the log takes what is asked, and slices are spent."""
        async with asyncio.timeout(20):
            while (await self.operator("GET", "/fleet/wallets"))[0] != 200:
                await asyncio.sleep(0.01)

    async def figures(self) -> Any:
        return (await self.operator("GET", "/fleet"))[1]["parts"]["wallet"]

    async def served(self, wire: bytes) -> None:
        """Until a slice is there: whoever is turned away before is told so."""
        async with asyncio.timeout(20):
            while (answer := await self.call(wire)).status == 429:
                await asyncio.sleep(0.01)
        assert answer.status == 200

    async def settled(self) -> Any:
        """The wallet once nothing is held: what was spent is all told then."""
        async with asyncio.timeout(20):
            while (wallet := (await self.operator("GET", "/fleet/wallets/acme"))[1])["held"]:
                await asyncio.sleep(0.01)
        assert wallet["credit"] == wallet["spent"] + wallet["left"]
        return wallet


def play(
    folder: Path,
    handler: Handler,
    use: Callable[[Program], Coroutine[Any, Any, None]],
    table: str = TABLE,
    more: dict[str, Any] = MORE,
) -> None:
    (folder / "key").write_text("sixteen bytes ok")
    text = table.format(port=free_port(), folder=folder)
    admin = free_port()

    async def at(port: int) -> None:
        await use(Program(port, admin))

    run(with_sidecar(handler, at, tuning=parse(text, "t"), more={**more, "admin_addr": f"127.0.0.1:{admin}"}))


def test_what_operators_are_answered(tmp_path: Path) -> None:
    async def use(program: Program) -> None:
        await program.begun()
        operator = program.operator
        assert await operator("GET", "/fleet/wallets") == (200, {"wallets": {}, "text": ""})
        assert (await operator("GET", "/fleet/wallets/acme"))[0] == 404
        assert await program.add("i1", 100) == (200, {"ok": True, "counted": False, "added": 100})
        assert await program.add("i1", 100) == (200, {"ok": True, "counted": True, "added": 100})
        assert await program.add("i1", 101) == (409, {"ok": False, "text": "id: was 100, not 101", "added": 100})
        assert await program.add("i2", 7) == (200, {"ok": True, "counted": False, "added": 7})
        status, wallet = await operator("GET", "/fleet/wallets/ac%6De")
        assert (status, wallet["tenant"], wallet["credit"]) == (200, "acme", 107)
        assert wallet["credit"] == wallet["spent"] + wallet["left"] + wallet["held"] and wallet["spent"] == 0
        assert list((await operator("GET", "/fleet/wallets"))[1]["wallets"]) == ["acme"]
        path = "/fleet/wallets/acme"
        for body, says in [
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
            status, said = await operator("POST", path, body)
            assert status == 400 and not said["ok"] and (says in said["text"] or "truncated" in said["text"]), said
        for tenant in ("", "zeta", "a" * 201):
            status, said = await operator("POST", f"/fleet/wallets/{tenant}", {"id": "x", "add": 1})
            assert status == 400 and said["text"].startswith("tenant: ")
        assert (await operator("DELETE", path))[0] == (await operator("POST", "/fleet/wallets", {}))[0] == 405
        assert (await program.settled())["credit"] == 107

    play(tmp_path, answering(whole(200))[0], use)


def test_calls_pay_once_when_they_are_served_and_nothing_else(tmp_path: Path) -> None:
    # A repeat after a 500; a rejection; a failure; a failure that can't be repeated; and one served at once.
    answers = [whole(200), whole(500), whole(200), REJECTED, REJECTED, whole(500), whole(500), whole(200)]
    handler, seen = answering(*answers)

    async def use(program: Program) -> None:
        await program.begun()
        answer = await program.call(LOOK)
        assert (answer.status, answer.fields[b"retry-after"], answer.body) == (429, b"0.700", b"")
        assert not seen
        await program.add("i", 1000)
        await program.served(LOOK)
        statuses = [(await program.call(renamed(wire))).status for wire in (LOOK, DELIVER, DELIVER, DELIVER)]
        assert (statuses, len(seen)) == ([200, 503, 502, 200], len(answers))
        assert (await program.call(OTHER)).status == 200
        wallet = await program.settled()
        assert (wallet["spent"], wallet["left"]) == (1 + 1 + 3, 995)
        calls = (await program.figures())["calls"]
        assert (calls["charged"], calls["given_back"], calls["reserved"]) == (5, 6, 0)

    play(tmp_path, handler, use)


def test_who_leaves_before_the_answer_gets_it_back(tmp_path: Path) -> None:
    async def handler(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = http1.RequestParser()
        while data := await reader.read(65536):
            parser.feed(data)
            if (request := parser.take()) is None:
                continue
            if request.method == b"GET":
                writer.write(whole(200))
            else:
                arrived.set()
                await reader.read()  # until it is given up
        writer.close()

    arrived = asyncio.Event()

    async def use(program: Program) -> None:
        await program.begun()
        await program.add("i", 100)
        await program.served(LOOK)
        async with asyncio.timeout(20):
            while not arrived.is_set():  # turned away while there is no slice of three units yet
                reader, writer = await asyncio.open_connection("127.0.0.1", program.port)
                writer.write(DELIVER)
                ends = [asyncio.ensure_future(arrived.wait()), asyncio.ensure_future(reader.read(1))]
                await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
                for end in ends:
                    end.cancel()
                writer.close()
            while (await program.figures())["calls"]["reserved"]:
                await asyncio.sleep(0.01)
        assert (await program.settled())["spent"] == 1
        calls = (await program.figures())["calls"]
        assert (calls["charged"], calls["given_back"]) == (1, 3)

    play(tmp_path, handler, use)


def test_without_a_log_who_pays_is_turned_away_and_nobody_else(tmp_path: Path) -> None:
    (tmp_path / "data").write_text("a file where a folder should be")

    async def use(program: Program) -> None:
        async with asyncio.timeout(20):
            while "no log" not in (await program.figures())["why"]:
                assert (await program.call(LOOK)).status == 429  # from the start
                await asyncio.sleep(0.01)
        for wire, status in ((LOOK, 429), (OTHER, 200), (DELIVER, 429)):
            assert (await program.call(wire)).status == status
        assert (await program.operator("GET", "/fleet/wallets"))[0] == 503
        assert (await program.add("i", 5))[0] == 503

    play(tmp_path, answering(whole(200))[0], use)


@pytest.mark.parametrize("what", ["the part", "the log", "the purse"])
def test_off_by_a_fault_who_pays_is_turned_away_and_nobody_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, what: str
) -> None:
    async def use(program: Program) -> None:
        await program.begun()
        await program.add("i", 100)
        await program.served(LOOK)

        def fault(*about: Any) -> Any:
            raise ZeroDivisionError("planted")

        target = {
            "the part": "limenotch.fleet.wallet.core.Wallet.handle",
            "the purse": "limenotch.fleet.wallet.allocations.Purse.reserve",
            "the log": "limenotch.fleet.consensus.Agreement.handle",
        }
        monkeypatch.setattr(target[what], fault)
        async with asyncio.timeout(20):
            while (await program.call(LOOK)).status != 429:
                await asyncio.sleep(0.01)
        assert (await program.figures())["state"] == "off"
        for wire, status in ((LOOK, 429), (OTHER, 200), (DELIVER, 429)):
            assert (await program.call(wire)).status == status

    play(tmp_path, answering(whole(200))[0], use)


def test_a_repeat_that_was_paid_for_costs_nothing_where_there_is_a_purse_and_where_not() -> None:
    async def case() -> None:
        till, purse = till_of({"free": 0})
        for number, call in enumerate([a_call(1, paid=True), a_call(2, kind="free"), a_call(3, tenant="zeta")]):
            assert till.request_received(call) is None, number
        assert till.request_received(a_call(4)) == FinalResponse(
            Verdict.REJECTED, retry_after_ms=5000.0, quota_exhausted=True
        )
        till.purse = purse
        assert till.request_received(a_call(5, paid=True)) is None
        assert purse.told == [("reserve", "acme", "look", True)]

    run(case())


def test_each_reservation_ends_once_whatever_is_told_of_its_call() -> None:
    async def case() -> None:
        till, purse = till_of()
        till.purse = purse
        ends = {
            1: FinalResponse(Verdict.SERVED),
            2: FinalResponse(Verdict.REJECTED),
            3: FinalResponse(Verdict.FAILED),
            4: None,
        }
        for number, final in ends.items():
            call = a_call(number)
            assert till.request_received(call) is None
            call.final = final
            till.request_closed(call)
            till.request_closed(call)
        assert [told[0] for told in purse.told if told[0] != "reserve"] == ["charge", *["give back"] * 3]
        assert till.status()["reserved"] == 0
        purse.left = 0
        said = till.request_received(a_call(5))
        assert isinstance(said, FinalResponse) and said.quota_exhausted and said.retry_after_ms == 321.0
        till.request_closed(a_call(5))
        assert len(purse.told) == 9

    run(case())


def test_what_the_purse_wants_is_told_once_and_in_a_turn_of_its_own() -> None:
    async def case() -> None:
        looks: list[int] = []
        till, purse = till_of(looks=looks)
        till.purse = purse
        purse.wanting = True
        for number in range(3):
            call = a_call(number)
            till.request_received(call)
            till.request_closed(call)
        assert not looks
        await asyncio.sleep(0)
        assert looks == [1]
        till.request_received(a_call(9))
        await asyncio.sleep(0)
        assert looks == [1, 1]

    run(case())


def test_a_fault_of_the_purse_at_a_call_s_end_costs_the_call_nothing() -> None:
    async def case() -> None:
        till, purse = till_of()
        till.purse = purse
        call = a_call(1)
        till.request_received(call)
        purse.broken = True
        till.request_closed(call)
        assert (
            till.off
            and till.request_received(a_call(2)) is not None
            and till.request_received(a_call(3, tenant="zeta")) is None
        )

    run(case())


class Fake:
    """A purse of ten units that notes what it is told."""

    def __init__(self) -> None:
        self.told: list[tuple[Any, ...]] = []
        self.left, self.wanting, self.broken = 10, False, False

    def reserve(self, now: float, tenant: str, kind: str, paid: bool = False) -> Reservation | Turned:
        self.told.append(("reserve", tenant, kind, paid))
        if paid:
            return Reservation(tenant, 0)
        if not self.left:
            return Turned(321.0)
        return Reservation(tenant, 1, ((1, 1),))

    def charge(self, now: float, reservation: Reservation) -> None:
        self._end("charge", reservation)

    def give_back(self, now: float, reservation: Reservation) -> None:
        self._end("give back", reservation)

    def _end(self, what: str, reservation: Reservation) -> None:
        if self.broken:
            raise ZeroDivisionError("planted")
        self.told.append((what, reservation.tenant, reservation.cost))

    def wants(self) -> bool:
        return self.wanting

    def status(self) -> dict[str, Any]:
        return {}


def till_of(cost: dict[str, int] | None = None, looks: list[int] | None = None) -> tuple[Till, Fake]:
    heard = looks if looks is not None else []
    till = Till(Tuning(tenants=("acme",), cost=cost or {}), lambda: heard.append(1), SimpleNamespace(stopped=()))
    return till, Fake()


def a_call(number: int, tenant: str = "acme", kind: str = "look", paid: bool = False) -> Any:
    return SimpleNamespace(number=number, tenant=tenant, class_name=kind, already_charged=paid, final=None)


def test_without_the_table_the_decisions_are_not_imported(tmp_path: Path) -> None:
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
