"""Checks whether a client's message is a request that can be accepted, and reads optional header fields."""

from __future__ import annotations

from collections.abc import Mapping

from ..load_balancer import LoadBalancer
from . import http1
from .header_fields import check_once, decode_name
from .request import RequestDetails
from .requests import RequestManager

METHODS_WITHOUT_RESPONSE_BODY = (b"HEAD", b"CONNECT")  # their responses are framed by other rules (RFC 9112, 6.3)


def details_of(fields: Mapping[bytes, bytes], connection: str) -> RequestDetails:
    """The optional properties of a request, from its header fields; `connection`: the client's address, or empty."""
    return RequestDetails(
        idempotency_key=fields.get(b"idempotency-key", b""),
        fields=fields,
        connection=connection,
        is_retry=fields.get(b"x-again") == b"1",
    )


def check_request(message: http1.Message, requests: RequestManager, load_balancer: LoadBalancer) -> None:
    """Raises MalformedError, with the status and the text for the client, unless the request can be accepted."""
    fields = message.fields
    if message.method in METHODS_WITHOUT_RESPONSE_BODY:
        raise http1.MalformedError(405, "GET or POST expected")
    if message.minor == 1 and b"host" not in fields:
        raise http1.MalformedError(400, "Host: missing")
    check_once(message.headers)
    request_id = fields.get(b"x-call-id")
    if not request_id:
        raise http1.MalformedError(400, "X-Call-Id: missing")
    if requests.is_known(request_id):  # an endpoint would take it for the request that has this id already
        raise http1.MalformedError(409, "X-Call-Id: of a call that is open")
    if not load_balancer.knows_class(decode_name(fields.get(b"x-call-class", b""))):
        raise http1.MalformedError(400, "X-Call-Class: unknown")
    if not load_balancer.knows_tenant(decode_name(fields.get(b"x-caller", b""))):
        raise http1.MalformedError(400, "X-Caller: unknown")
