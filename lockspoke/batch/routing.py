"""Routes of the batch API."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Self

from .messages import Handler

OBJECT_ID = "([A-Za-z0-9_-]{1,80})"


@dataclass(frozen=True, slots=True)
class Route:
    """A handler for one method and one path pattern."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler

    @classmethod
    def to(cls, method: str, path: str, handler: Handler) -> Self:
        """Create a route; `{id}` in the path matches the ID of an object."""
        return cls(method, re.compile(path.replace("{id}", OBJECT_ID)), handler)


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The result of looking up a request's method and path."""

    allowed_methods: frozenset[str]  # The methods that the path has; empty if the path is unknown.
    handler: Handler | None  # None if the path is unknown or the method is not allowed.
    object_id: str  # The ID in the path; empty if the path has none.


class Router:
    """Finds the handler of a request."""

    def __init__(self, routes: list[Route]) -> None:
        self.routes = routes

    def match(self, method: str, path: str) -> RouteMatch:
        """Find the handler for a method and a path."""
        allowed: set[str] = set()
        handler: Handler | None = None
        object_id = ""
        for route in self.routes:
            path_match = route.pattern.fullmatch(path)
            if path_match is None:
                continue
            allowed.add(route.method)
            if route.method == method:
                handler = route.handler
                object_id = path_match[1] if route.pattern.groups else ""
        return RouteMatch(frozenset(allowed), handler, object_id)
