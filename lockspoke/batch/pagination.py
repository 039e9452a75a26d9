"""Pagination of listings."""

from __future__ import annotations

from typing import Any

from .errors import ApiError
from .messages import ApiRequest, JsonResponse
from .objects import list_object
from .validation import page_limit


def page(
    request: ApiRequest, objects: list[dict[str, Any]], default_limit: int, max_limit: int
) -> JsonResponse:
    """The requested page of a listing, newest object first.

    Args:
        request: A request whose query may contain `limit` and `after`.
        objects: All objects, oldest first.
        default_limit: The page size if the request does not set one.
        max_limit: The maximum page size.

    Raises:
        ApiError: The limit is invalid, or no object has the ID in `after`.
    """
    newest_first = objects[::-1]
    limit = page_limit(request.query("limit"), default_limit, max_limit)
    after = request.query("after")
    if after:
        newest_first = newest_first[_position(newest_first, after) + 1 :]
    return JsonResponse(list_object(newest_first[:limit], len(newest_first) > limit))


def _position(objects: list[dict[str, Any]], object_id: str) -> int:
    for position, candidate in enumerate(objects):
        if candidate["id"] == object_id:
            return position
    raise ApiError(404, f"No such object: {object_id}", "after", "not_found")
