"""Routes of the batch API."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Self

from .messages import Handler

OBJECT_ID = "([A-Za-z0-9_-]{1,80})"


@dataclass(frozen=True, slots=True)
class Route:
    """A handler for one method and one pattern of paths."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler

    @classmethod
    def to(cls, method: str, path: str, handler: Handler) -> Self:
        """A route; `{id}` in the path stands for the ID of an object."""
        return cls(method, re.compile(path.replace("{id}", OBJECT_ID)), handler)


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """What the routes say about one request."""

    allowed_methods: frozenset[str]  # empty if the path is unknown
    handler: Handler | None  # None if the method is not allowed
    object_id: str


class Router:
    """Finds the handler of a request."""

    def __init__(self, routes: list[Route]) -> None:
        self.routes = routes

    def match(self, method: str, path: str) -> RouteMatch:
        """Look up a method and a path."""
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
