"""The batch API independent of connections: routing, authorization, and the response to store errors."""

from __future__ import annotations

import hmac

import structlog
from tornado.iostream import StreamClosedError

from .batch_handlers import BatchHandlers
from .errors import ApiError
from .file_handlers import FileHandlers
from .journal import StoreError
from .limits import FrontLimits
from .messages import ApiRequest, JsonResponse, Response
from .requests_in_progress import RequestsInProgress
from .routing import Route, Router
from .runner import BatchRunner
from .store import BatchStore
from .upload_handlers import UploadHandlers

log = structlog.get_logger()


class BatchApplication:
    """Finds the handler of a request and calls it."""

    def __init__(self, store: BatchStore, runner: BatchRunner, limits: FrontLimits, token: str) -> None:
        """Set up the routes.

        Args:
            store: Holds files, uploads and batches.
            runner: Runs new batches.
            limits: Limits of requests, which a reload may change.
            token: The bearer token that clients must send; empty if none is required.
        """
        self.limits = limits
        self.token = token
        self.draining = False  # Whether connections close after their current response.
        self.requests = RequestsInProgress(store.is_writing)
        files = FileHandlers(store, limits)
        uploads = UploadHandlers(store, limits)
        batches = BatchHandlers(store, runner)
        self.router = Router(
            [
                Route.to("POST", "/v1/files", files.create),
                Route.to("GET", "/v1/files", files.list),
                Route.to("GET", "/v1/files/{id}", files.get),
                Route.to("DELETE", "/v1/files/{id}", files.delete),
                Route.to("GET", "/v1/files/{id}/content", files.content),
                Route.to("POST", "/v1/uploads", uploads.create),
                Route.to("POST", "/v1/uploads/{id}/parts", uploads.add_part),
                Route.to("POST", "/v1/uploads/{id}/complete", uploads.complete),
                Route.to("POST", "/v1/uploads/{id}/cancel", uploads.cancel),
                Route.to("POST", "/v1/batches", batches.create),
                Route.to("GET", "/v1/batches", batches.list),
                Route.to("GET", "/v1/batches/{id}", batches.get),
                Route.to("POST", "/v1/batches/{id}/cancel", batches.cancel),
            ]
        )

    async def handle(self, request: ApiRequest) -> Response:
        """Answer a request.

        Raises:
            ApiError: The response is an error object.
        """
        head = request.head
        match = self.router.match(head.method, head.path)
        if not match.allowed_methods:
            raise ApiError(404, f"Unknown path: {head.path}", code="unknown_url")
        self._authorize(request)
        if match.handler is None:
            error = ApiError(405, f"Not allowed: {head.method}", code="method_not_allowed")
            return JsonResponse(
                error.as_object(), error.status, {"Allow": ", ".join(sorted(match.allowed_methods))}
            )
        request.object_id = match.object_id
        try:
            return await match.handler(request)
        except StreamClosedError:
            raise  # The client has disconnected. This is an OSError as well, but not an error of the store.
        except (StoreError, OSError) as error:
            log.error("store_unavailable", error=str(error))
            raise ApiError(503, "The store takes nothing at the moment; try again.") from None

    def _authorize(self, request: ApiRequest) -> None:
        if not self.token:
            return
        credentials = request.head.headers.get("authorization")
        if not hmac.compare_digest(credentials.encode(), f"Bearer {self.token}".encode()):
            raise ApiError(401, "Incorrect API key provided.", code="invalid_api_key")
