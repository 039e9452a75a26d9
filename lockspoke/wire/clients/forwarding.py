"""Builds the request for the core, with the header fields that are forwarded to replicas."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from lockspoke.core.identifiers import key_identifier
from lockspoke.core.requests import ClientRequest
from lockspoke.units import MILLISECOND
from lockspoke.wire.http.encoding import encode_fields
from lockspoke.wire.http.messages import Headers, Request

from .request_fields import RequestFields
from .responses import StreamingResponse

DEFAULT_HOST = "origin.svc"  # Sent to replicas when an HTTP/1.0 client sent no Host field.
# Fields that apply only to the client's connection, and fields that the transport sets for each attempt.
HEADERS_NOT_FORWARDED = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-connection",
        "req-deadline-ms",
        "req-id",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request that has been read completely."""

    request: Request
    # The earliest time at which its last byte can have arrived, in nanoseconds of the core's clock.
    arrived_at: int


def forwarded_fields(headers: Headers) -> bytes:
    """Return the header fields that are forwarded to a replica, encoded."""
    dropped = HEADERS_NOT_FORWARDED
    if "connection" in headers:
        dropped = dropped | headers.tokens("connection")
    forwarded = {name: value for name, value in headers if name not in dropped}
    return encode_fields({"host": DEFAULT_HOST, **forwarded})


def client_request(
    received: ReceivedRequest,
    fields: RequestFields,
    response: StreamingResponse,
    request_class: int,
    tenants: Mapping[str, int],
) -> ClientRequest:
    """Convert a received request to the form that the core takes."""
    head = received.request.head
    return ClientRequest(
        response=response,
        request_class=request_class,
        time_remaining=fields.deadline_ms * MILLISECOND,
        request_id=fields.request_id,
        method=head.method,
        target=head.target,
        forwarded_fields=forwarded_fields(head.headers),
        body=received.request.body,
        # A tenant that is not in the settings counts as the first one.
        tenant=tenants.get(fields.tenant, 0),
        session=key_identifier(fields.key),
        prefix=key_identifier(fields.prefix),
        prompt_tokens=fields.prompt_len,
        prefix_tokens=fields.prefix_len,
        max_tokens=fields.max_out,
        client_retry=fields.retry,
        arrived_at=received.arrived_at,
    )
