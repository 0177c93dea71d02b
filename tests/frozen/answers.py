"""The JSON keys of responses to operators, from a running sidecar that has all components of a fleet."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from tests.fleet.test_fleet_off import serving
from tests.helpers.http_peers import LOOK, fetch

TABLE = """
folder = "{folder}/data"
voters = ["n"]
[fleet.agreement]
heartbeat_ms = 20.0
election_least_ms = 60.0
election_most_ms = 90.0
[fleet.rules]
lease_ms = 900.0
[fleet.wallet]
tenants = ["zeta"]
[fleet.bindings]
"""
CREDIT = b'{"id": "1", "add": 1000}'
CHANGE = b'{"what": "propose", "id": "1", "document": {"change": {"settings": {"permissions": {"max_attempts": 2}}}}}'
REQUESTS = {
    "add credit": (b"POST", b"/fleet/wallets/zeta", CREDIT),
    "add credit, wrong key": (b"POST", b"/fleet/wallets/zeta", b'{"id": "2", "sum": 1}'),
    "propose rules": (b"POST", b"/fleet/rules", CHANGE),
    "wallet": (b"GET", b"/fleet/wallets/zeta", b""),
    "wallets": (b"GET", b"/fleet/wallets", b""),
    "rules": (b"GET", b"/fleet/rules", b""),
    "list of notes": (b"GET", b"/fleet/promises/", b""),
    "fleet": (b"GET", b"/fleet", b""),
}
MAX_TRIES = 100


def keys_of(value: Any, path: str = "") -> set[str]:
    """The paths of all keys of a JSON value; a list's elements share the path of the list."""
    if isinstance(value, dict):
        nested = (keys_of(element, f"{path}.{key}") for key, element in value.items())
        return {f"{path}.{key}" for key in value}.union(*nested)
    if isinstance(value, list):
        return set().union(*(keys_of(element, f"{path}[]") for element in value))
    return set()


async def operator_responses(folder: Path) -> dict[str, Any]:
    """Returns, by request, the status and the keys of the response."""
    responses: dict[str, Any] = {}
    async with serving(folder, "n", TABLE.format(folder=folder)) as sidecar:
        await fetch(sidecar.port, LOOK)
        for name, (method, path, body) in REQUESTS.items():
            request = b"%b %b HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (method, path, len(body), body)
            for _ in range(MAX_TRIES):
                response = await fetch(sidecar.admin, request)
                if response.status not in (500, 503, 504):  # the log is being read, or no leader is elected yet
                    break
                await asyncio.sleep(0.1)
            keys = sorted(keys_of(json.loads(response.body)))
            responses[name] = {"status": response.status, "keys": keys}
    return responses
