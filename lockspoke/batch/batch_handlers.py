"""Handlers of `/v1/batches`."""

from __future__ import annotations

from .errors import ApiError
from .file_handlers import find_file
from .idempotency import fingerprint, idempotency_key
from .messages import ApiRequest, JsonResponse, replayed
from .objects import batch_object
from .pagination import page
from .records import Batch, BatchStatus
from .runner import BatchRunner
from .store import BatchStore
from .validation import PURPOSE, metadata_member, require_supported_endpoint, text_member, window_seconds

DEFAULT_PAGE_LIMIT = 20
MAX_PAGE_LIMIT = 100


class BatchHandlers:
    """Creates, lists and cancels batches."""

    def __init__(self, store: BatchStore, runner: BatchRunner) -> None:
        self.store = store
        self.runner = runner

    async def create(self, request: ApiRequest) -> JsonResponse:
        """`POST /v1/batches`."""
        body = await request.read_json()
        endpoint = text_member(body.members, "endpoint")
        window = text_member(body.members, "completion_window")
        require_supported_endpoint(endpoint)
        seconds = window_seconds(window)
        metadata = metadata_member(body.members)
        async with self.store.creation_lock:
            key = idempotency_key(self.store, request, fingerprint(body.raw))
            if key.existing_id:
                return replayed(batch_object(self._find(key.existing_id)))
            file = find_file(self.store, text_member(body.members, "input_file_id"))
            if file.purpose != PURPOSE:
                raise ApiError(400, "The file's purpose is not 'batch'.", "input_file_id", "invalid_purpose")
            batch = await self.store.add_batch(
                key.key,
                key.fingerprint,
                input_file_id=file.id,
                endpoint=endpoint,
                completion_window=window,
                expires_at=int(self.store.now()) + seconds,
                metadata=metadata,
            )
            response = JsonResponse(batch_object(batch))
            self.runner.start_batch(batch)
            return response

    async def list(self, request: ApiRequest) -> JsonResponse:
        """`GET /v1/batches`."""
        objects = [batch_object(batch) for batch in self.store.batches.values()]
        return page(request, objects, DEFAULT_PAGE_LIMIT, MAX_PAGE_LIMIT)

    async def get(self, request: ApiRequest) -> JsonResponse:
        """`GET /v1/batches/{id}`."""
        return JsonResponse(batch_object(self._find(request.object_id)))

    async def cancel(self, request: ApiRequest) -> JsonResponse:
        """`POST /v1/batches/{id}/cancel`."""
        batch = self._find(request.object_id)
        async with self.store.status_lock:
            if batch.status in (BatchStatus.VALIDATING, BatchStatus.IN_PROGRESS):
                await self.store.set_status(batch, BatchStatus.CANCELLING)
                self.runner.notify()
            elif batch.status not in (BatchStatus.CANCELLING, BatchStatus.CANCELLED):
                message = f"Cannot cancel a batch with status '{batch.status}'."
                raise ApiError(409, message, "id", "batch_not_cancellable")
        return JsonResponse(batch_object(batch))

    def _find(self, batch_id: str) -> Batch:
        batch = self.store.batches.get(batch_id)
        if batch is None:
            raise ApiError(404, f"No such Batch object: {batch_id}", "id", "not_found")
        return batch
