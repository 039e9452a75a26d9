"""Handlers of `/v1/uploads`: files uploaded in parts, for clients with unreliable connections."""

from __future__ import annotations

from typing import Any

from .errors import ApiError
from .idempotency import fingerprint, idempotency_key
from .limits import PART_LIMIT, FrontLimits
from .messages import ApiRequest, JsonResponse, replayed
from .objects import part_object, upload_object
from .received_form import received_form
from .records import Upload, UploadStatus
from .store import BatchStore
from .validation import purpose_member, size_member, text_member

UPLOAD_LIFETIME = 3600  # seconds until a pending upload expires


class UploadHandlers:
    """Creates uploads, receives their parts and turns them into files."""

    def __init__(self, store: BatchStore, limits: FrontLimits) -> None:
        self.store = store
        self.limits = limits

    async def create(self, request: ApiRequest) -> JsonResponse:
        """`POST /v1/uploads`."""
        body = await request.read_json()
        size = size_member(body.members, "bytes")
        fields = {
            "filename": text_member(body.members, "filename"),
            "purpose": purpose_member(body.members),
            "bytes": size,
            "mime_type": text_member(body.members, "mime_type"),
        }
        async with self.store.creation_lock:
            key = idempotency_key(self.store, request, fingerprint(body.raw))
            if key.existing_id:
                return replayed(self._upload_object(self._find(key.existing_id)))
            limit = self.limits.file_size
            if size > limit:
                raise ApiError(413, f"The file is larger than {limit} bytes.", "bytes", "file_too_large")
            upload = await self.store.add_upload(key.key, key.fingerprint, UPLOAD_LIFETIME, **fields)
            return JsonResponse(self._upload_object(upload))

    async def add_part(self, request: ApiRequest) -> JsonResponse:
        """`POST /v1/uploads/{id}/parts`."""
        upload = self._find(request.object_id)
        limit = min(PART_LIMIT, upload.bytes)
        async with received_form(self.store, request, "data", limit) as form, self.store.creation_lock:
            key = idempotency_key(self.store, request, fingerprint(form.sha256))
            if key.existing_id:
                return replayed(part_object(upload, key.existing_id))
            await self._require_pending(upload)
            part_id = await self.store.add_part(upload, form.content, key.key, key.fingerprint)
            return JsonResponse(part_object(upload, part_id))

    async def complete(self, request: ApiRequest) -> JsonResponse:
        """`POST /v1/uploads/{id}/complete`."""
        members = (await request.read_json()).members
        async with self.store.creation_lock:
            upload = self._find(request.object_id)
            if upload.status is UploadStatus.COMPLETED:
                # Repeated, because the response to the first request may have been lost.
                return replayed(self._upload_object(upload))
            await self._require_pending(upload)
            digests = await self.store.join_parts(upload, _checked_parts(upload, members))
            if members.get("md5") not in (None, digests.md5):
                raise ApiError(400, "The parts do not have this MD5.", "md5", "checksum_mismatch")
            await self.store.complete_upload(upload, digests.sha256)
            return JsonResponse(self._upload_object(upload))

    async def cancel(self, request: ApiRequest) -> JsonResponse:
        """`POST /v1/uploads/{id}/cancel`."""
        async with self.store.creation_lock:
            upload = self._find(request.object_id)
            if upload.status is not UploadStatus.CANCELLED:
                await self._require_pending(upload)
                await self.store.abandon_upload(upload, UploadStatus.CANCELLED)
            return JsonResponse(self._upload_object(upload))

    def _find(self, upload_id: str) -> Upload:
        upload = self.store.uploads.get(upload_id)
        if upload is None:
            raise ApiError(404, f"No such Upload object: {upload_id}", "id", "not_found")
        return upload

    async def _require_pending(self, upload: Upload) -> None:
        await self.store.expire_if_overdue(upload)
        if upload.status is not UploadStatus.PENDING:
            raise ApiError(409, f"The upload is {upload.status}.", "id", f"upload_{upload.status}")

    def _upload_object(self, upload: Upload) -> dict[str, Any]:
        return upload_object(upload, self.store.files.get(upload.file_id))


def _checked_parts(upload: Upload, members: dict[str, Any]) -> list[str]:
    """The IDs of the parts to join, in order; raises ApiError if they do not match the upload."""
    part_ids = members.get("part_ids")
    if (
        not isinstance(part_ids, list)
        or not part_ids
        or not all(part_id in upload.parts for part_id in part_ids)
    ):
        raise ApiError(400, "'part_ids' must name parts of this upload.", "part_ids", "invalid_value")
    total = sum(upload.parts[part_id] for part_id in part_ids)
    if total != upload.bytes:
        message = f"The parts hold {total} bytes, the upload was made for {upload.bytes}."
        raise ApiError(400, message, "part_ids", "upload_size_mismatch")
    return part_ids
