"""Handlers of `/v1/files`."""

from __future__ import annotations

from .errors import ApiError
from .idempotency import created_object_id, fingerprint, idempotency_key
from .limits import FrontLimits
from .messages import ApiRequest, FileResponse, JsonResponse, replayed
from .objects import deleted_file_object, file_object
from .pagination import page
from .received_form import received_form
from .records import File
from .store import BatchStore
from .validation import ByteRange, decode_range, purpose_member

DEFAULT_FILENAME = "file"
PAGE_LIMIT = 10000


def find_file(store: BatchStore, file_id: str) -> File:
    """Find a file by its ID; raises ApiError if it does not exist."""
    file = store.files.get(file_id)
    if file is None:
        raise ApiError(404, f"No such File object: {file_id}", "id", "not_found")
    return file


class FileHandlers:
    """Creates, lists, sends and deletes files."""

    def __init__(self, store: BatchStore, limits: FrontLimits) -> None:
        self.store = store
        self.limits = limits

    async def create(self, request: ApiRequest) -> JsonResponse:
        """`POST /v1/files`."""
        limit = max(self.limits.file_size, self._size_of_earlier_creation(request))
        async with received_form(self.store, request, "file", limit) as form:
            purpose = purpose_member(form.fields)
            filename = form.filename or DEFAULT_FILENAME
            async with self.store.creation_lock:
                key = idempotency_key(self.store, request, fingerprint(purpose, filename, form.sha256))
                if key.existing_id:
                    return replayed(file_object(find_file(self.store, key.existing_id)))
                file = await self.store.add_file(
                    form.content, filename, purpose, form.sha256, key.key, key.fingerprint
                )
                return JsonResponse(file_object(file))

    def _size_of_earlier_creation(self, request: ApiRequest) -> int:
        """The size of the file that an earlier request with the same idempotency key has created; else 0."""
        file = self.store.files.get(created_object_id(self.store, request))
        return 0 if file is None else file.bytes

    async def list(self, request: ApiRequest) -> JsonResponse:
        """`GET /v1/files`."""
        purpose = request.query("purpose")
        files = [file for file in self.store.files.values() if not purpose or file.purpose == purpose]
        return page(request, [file_object(file) for file in files], PAGE_LIMIT, PAGE_LIMIT)

    async def get(self, request: ApiRequest) -> JsonResponse:
        """`GET /v1/files/{id}`."""
        return JsonResponse(file_object(find_file(self.store, request.object_id)))

    async def delete(self, request: ApiRequest) -> JsonResponse:
        """`DELETE /v1/files/{id}`."""
        # The lock prevents the creation of a batch that reads the file while the deletion is being written.
        async with self.store.creation_lock:
            file = find_file(self.store, request.object_id)
            unfinished = [batch for batch in self.store.batches.values() if not batch.is_final]
            if any(batch.input_file_id == file.id for batch in unfinished):
                raise ApiError(409, "A batch that is not finished reads this file.", "id", "file_in_use")
            await self.store.delete_file(file)
        return JsonResponse(deleted_file_object(file))

    async def content(self, request: ApiRequest) -> FileResponse:
        """`GET /v1/files/{id}/content`: the file, or a range of it to resume an interrupted download."""
        file = find_file(self.store, request.object_id)
        headers = request.head.headers
        etag = f'"{file.sha256}"'
        requested = None
        if headers.get("range") and headers.get("if-range", etag) == etag:
            requested = decode_range(headers.get("range"), file.bytes)
        complete = ByteRange(0, file.bytes)
        return FileResponse(self.store.path(file.id), file.bytes, requested or complete, etag)
