"""Listings, page by page."""

from __future__ import annotations

from typing import Any

from .errors import ApiError
from .messages import ApiRequest, JsonResponse
from .objects import list_object
from .validation import page_limit


def page(
    request: ApiRequest, objects: list[dict[str, Any]], default_limit: int, max_limit: int
) -> JsonResponse:
    """The page that a request asks for, newest object first.

    Args:
        request: Its query may hold `limit` and `after`.
        objects: All objects, oldest first.
        default_limit: Length of a page if the request sets none.
        max_limit: The longest page.

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
    for position, one in enumerate(objects):
        if one["id"] == object_id:
            return position
    raise ApiError(404, f"No such object: {object_id}", "after", "not_found")
