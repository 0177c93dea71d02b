"""The `[fleet]` table of the program's settings: this sidecar's identity in the fleet, and how it reaches its peers.

Imported only where the file has that table. Each component defines its own table.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterator
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from .. import settings as base
from .. import toml
from ..config import Address, ConfigError, address
from .affinity import tuning as bindings
from .consensus import tuning as agreement
from .membership.tuning import Tuning
from .rules import tuning as rules
from .wallet import tuning as wallet
from .wire import MAX_FRAME_BYTES, MAX_KEY_BYTES, MAX_NAME_LENGTH, MIN_KEY_BYTES

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
WILDCARD_HOSTS = ("0.0.0.0", "::")  # can be listened on, but not connected to
STORE_DESCRIPTORS = 8  # descriptors that the store and its thread may use
SOCKET_DESCRIPTORS = 2
HEADER_FIELD = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{0,64}")  # the name of a header field, or empty


class Membership(Tuning, frozen=True, forbid_unknown_fields=True):
    """The settings of membership."""


class Agreement(agreement.Tuning, frozen=True, forbid_unknown_fields=True):
    """The settings of consensus."""


class Rules(rules.Tuning, frozen=True, forbid_unknown_fields=True):
    """The settings of versioned rules."""


class Wallet(wallet.Tuning, frozen=True, forbid_unknown_fields=True):
    """The settings of wallets."""


class Bindings(bindings.Tuning, frozen=True, forbid_unknown_fields=True):
    """The settings of affinity."""


class Fleet(Struct, frozen=True, forbid_unknown_fields=True):
    """The `[fleet]` table."""

    group: Name
    listen: str
    key_file: str
    name: Name | None = None  # None: the name of the sidecar
    seeds: Annotated[tuple[str, ...], Meta(max_length=64)] = ()
    voters: Annotated[tuple[Name, ...], Meta(max_length=9)] = ()
    folder: Annotated[str, Meta(min_length=1)] | None = None  # None: the log is in memory only
    streams: Annotated[int, Meta(ge=1, le=1024)] = 32  # outbound streams, and as many inbound ones
    addresses: dict[Name, str] = {}
    membership: Membership = Membership()
    agreement: Agreement = Agreement()
    rules: Rules | None = None  # None: each sidecar uses the rules of its own file
    wallet: Wallet | None = None  # None: no prepaid credit
    bindings: Bindings | None = None  # None: no affinity beyond this sidecar's own requests

    @property
    def descriptors(self) -> int:
        """File descriptors that the fleet may use."""
        return SOCKET_DESCRIPTORS + 2 * self.streams + (STORE_DESCRIPTORS if self.folder is not None else 0)


class _WithFleet(base.Settings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    fleet: Fleet


class ResolvedFleet(NamedTuple):
    """A valid `[fleet]` table, resolved for one sidecar."""

    name: str
    group: str
    key: bytes
    listen: Address
    address: Address  # where peers reach it
    seeds: tuple[Address, ...]
    addresses: dict[str, Address]
    table: Fleet


def parse_with(text: str, name: str) -> base.Settings:
    """The settings of a file that has a `fleet` table. Raises toml.FaultError."""
    settings = toml.decode(text, name, _WithFleet)
    for path, what in _find_faults(settings.fleet):
        raise toml.fault(text, name, path, what)
    return settings


def resolve(table: Fleet, sidecar: str) -> ResolvedFleet:
    """Resolve the table for this sidecar. Raises FaultError on what depends on its name, or on the key's file."""
    name = table.name or sidecar
    addresses = {other: address(peer_address, "") for other, peer_address in table.addresses.items()}
    listen = address(table.listen, "")
    peer_address = addresses.get(name, listen)
    if peer_address[0] in WILDCARD_HOSTS:
        raise toml.FaultError(
            f"fleet.listen: {table.listen} can't be reached by peers; fleet.addresses has none for {name!r}"
        )
    if len(name) > MAX_NAME_LENGTH:  # the sidecar's
        raise toml.FaultError(f"fleet.name: missing, {name!r} has more than {MAX_NAME_LENGTH} characters")
    if name in table.voters and table.folder is None:
        raise toml.FaultError(f"fleet.folder: missing, {name!r} is a voter, which needs a store")
    seeds = tuple(address(seed, "") for seed in table.seeds)
    return ResolvedFleet(name, table.group, read_key(table.key_file), listen, peer_address, seeds, addresses, table)


def read_key(path: str) -> bytes:
    """The content of the key file, stripped. Raises FaultError, whose text never contains any of it."""
    try:
        with open(path, "rb") as file:
            key = file.read(4 * MAX_KEY_BYTES).strip()
    except OSError as error:
        raise toml.FaultError(f"fleet.key_file: {path}: {error.strerror}") from None
    except ValueError:
        raise toml.FaultError("fleet.key_file: invalid path") from None
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise toml.FaultError(f"fleet.key_file: {path}: expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")
    return key


def _find_faults(table: Fleet) -> Iterator[tuple[str, str]]:
    """Path and text of each fault that the types don't exclude."""
    addresses = [("listen", table.listen)]
    addresses += [(f"seeds[{number}]", seed) for number, seed in enumerate(table.seeds)]
    addresses += [(f"addresses.{name}", peer_address) for name, peer_address in table.addresses.items()]
    for key, peer_address in addresses:
        try:
            host, port = address(peer_address, "fleet")
            ipaddress.ip_address(host)
            if port == 0:
                yield f"fleet.{key}", "expected a port other than 0"
        except ConfigError as error:
            yield f"fleet.{key}", str(error).removeprefix("fleet: ")
        except ValueError:
            yield f"fleet.{key}", f"expected a numeric host, not {host!r}: host names are not resolved"
    if table.rules is not None and not table.voters:
        yield "fleet.rules", "needs voters to agree on rules, and fleet.voters is empty"
    if table.wallet is not None and not table.voters:
        yield "fleet.wallet", "needs voters to agree on credit, and fleet.voters is empty"
    if table.wallet is not None:
        yield from _find_wallet_faults(table.wallet)
    if table.bindings is not None and not HEADER_FIELD.fullmatch(table.bindings.session):
        yield "fleet.bindings.session", f"expected the name of a header field, not {table.bindings.session!r}"
    if len(set(table.voters)) != len(table.voters):
        yield "fleet.voters", "contains a name twice"
    for key in ("most_entry_bytes", "most_batch_bytes", "chunk_bytes"):
        if getattr(table.agreement, key) > MAX_FRAME_BYTES // 2:
            yield f"fleet.agreement.{key}", f"more than {MAX_FRAME_BYTES // 2}, the limit of one message"
    try:
        read_key(table.key_file)
    except toml.FaultError as error:
        yield "fleet.key_file", str(error).removeprefix("fleet.key_file: ")


def _find_wallet_faults(table: Wallet) -> Iterator[tuple[str, str]]:
    if not table.tenants:
        yield "fleet.wallet.tenants", "is empty: remove the table if no tenant pays"
    elif len(set(table.tenants)) != len(table.tenants):
        yield "fleet.wallet.tenants", "contains a name twice"
    elif "*" in table.tenants and len(table.tenants) > 1:
        yield "fleet.wallet.tenants", 'contains names beside "*", which means all tenants'
    if table.without_lease == "advance" and not table.advance:
        yield "fleet.wallet.without_lease", "is advance, but fleet.wallet.advance is 0"
