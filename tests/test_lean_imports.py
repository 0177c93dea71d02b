"""The process of the sidecar has no OpenSSL; a program that has loaded it already keeps it."""

from __future__ import annotations

import hashlib

from .helpers.processes import output_of

LEAN = "import sys; sys.modules['rich'] = None; from limenotch.lean_imports import leave_out_unused_modules as leave; "


def test_no_module_of_the_sidecar_or_its_fleet_loads_openssl() -> None:
    loaded_names = "print(*(name for name, module in sys.modules.items() if module))"
    loaded = output_of(f"{LEAN}leave(); import limenotch.app, limenotch.fleet_node; {loaded_names}").split()
    assert "limenotch.fleet_node" in loaded
    assert not {"_ssl", "_hashlib", "_curses"} & set(loaded)


def test_digests_are_the_same_without_openssl() -> None:
    digest = output_of(f"{LEAN}leave(); import hashlib; print(hashlib.blake2b(b'id').hexdigest())").strip()
    assert digest == hashlib.blake2b(b"id").hexdigest()


def test_tls_that_is_requested_all_the_same_is_an_error_that_says_so() -> None:
    code = f"{LEAN}leave(); import ssl\ntry: ssl.create_default_context().wrap_socket(None)\nexcept RuntimeError as e: "
    assert "without TLS" in output_of(f"{code}print(e)")


def test_a_program_that_has_loaded_ssl_keeps_it() -> None:
    assert output_of(f"import ssl; {LEAN}leave(); print(ssl.OPENSSL_VERSION_INFO)").startswith("(")


def test_modules_that_were_left_out_can_be_imported_later() -> None:
    code = f"{LEAN}leave(); import limenotch.app, html, ipaddress, logging.handlers; "
    printed = output_of(f"{code}print(html.escape('<'), ipaddress.ip_address('::1'), bool(logging.handlers.__file__))")
    assert printed.split() == ["&lt;", "::1", "True"]
