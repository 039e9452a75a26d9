"""Idempotency keys: a request that is repeated with the same key returns what the first one created."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from .errors import ApiError
from .messages import ApiRequest
from .store import BatchStore

MAX_KEY_LENGTH = 255


def fingerprint(*parts: str | bytes) -> str:
    """A digest of a request's content; requests with the same key must have the same fingerprint."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(part if isinstance(part, bytes) else part.encode())
        digest.update(b"\0")
    return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """The idempotency key of a request that creates an object."""

    key: str  # The path and the header's value, as they are stored; empty if the request has no key.
    fingerprint: str
    existing_id: str  # The ID of what an earlier request with this key created; empty if there was none.


def created_object_id(store: BatchStore, request: ApiRequest) -> str:
    """The ID of what an earlier request with the same key has created, whatever it held; empty if nothing."""
    creation = store.creations.get(_stored_key(request))
    return "" if creation is None else creation.object_id


def _stored_key(request: ApiRequest) -> str:
    return f"{request.head.path} {request.head.headers.get('idempotency-key')}"


def idempotency_key(store: BatchStore, request: ApiRequest, request_fingerprint: str) -> IdempotencyKey:
    """Look up the key of a request; call it with the store's `creation_lock` held.

    Raises:
        ApiError: The key is too long, or was used by a different request before.
    """
    header = request.head.headers.get("idempotency-key")
    if not header:
        return IdempotencyKey("", request_fingerprint, "")
    if len(header) > MAX_KEY_LENGTH:
        raise ApiError(400, "The Idempotency-Key is too long.", code="invalid_idempotency_key")
    key = _stored_key(request)
    creation = store.creations.get(key)
    if creation is None:
        return IdempotencyKey(key, request_fingerprint, "")
    if creation.fingerprint != request_fingerprint:
        raise ApiError(409, "This Idempotency-Key came with another request.", code="idempotency_key_reused")
    return IdempotencyKey(key, request_fingerprint, creation.object_id)
