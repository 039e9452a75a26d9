"""The only place where the rows of the recorded decisions meet the Python types of the decision module.

A row is a JSON array: a tag and the field values in order. Types are constructed and read positionally, and
members of enumerations are given by their place, so a renamed type, field or member changes this file alone.
"""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from lockspoke.balancing import Balancer, actions, events
from lockspoke.balancing import settings as balancer_settings

Row = list[Any]


def decode_event(row: Row) -> events.Event:
    """Build the event that a row holds."""
    match row:
        case ["list", kind, entries, answers]:
            return events.EndpointListUpdate(
                list(events.EndpointListKind)[kind], tuple(decode_entry(*entry) for entry in entries), answers
            )
        case ["arrived", *values]:
            return events.RequestArrived(*values)
        case ["first_token", *values]:
            return events.FirstToken(*values)
        case ["ended", request, attempt, replica, outcome, elapsed, closed, cached, report, reused]:
            outcome = list(events.Outcome)[outcome]
            return events.AttemptEnded(
                request, attempt, replica, outcome, elapsed, closed, cached, tuple(report), reused
            )
        case ["client_left", request]:
            return events.ClientDisconnected(request)
        case ["timer", token]:
            return events.TimerFired(token)
    raise ValueError(f"unknown event {row}")


ACTION_TAGS = {
    actions.SendAttempt: "send",
    actions.Reject: "reject",
    actions.Fail: "fail",
    actions.SetTimer: "timer",
    actions.WatchEndpointList: "watch",
    actions.Log: "log",
}


def encode_action(action: actions.Action) -> Row:
    """Write an action as a row: its tag and all its fields in order."""
    return [ACTION_TAGS[type(action)], *(getattr(action, field.name) for field in fields(action))]


def decode_entry(replica: int, state: int, *values: Any) -> events.EndpointListEntry:
    """Build one entry of an endpoint list."""
    return events.EndpointListEntry(replica, list(events.ReplicaState)[state], *values)


def decode_settings(classes: list[Row], *values: Any) -> balancer_settings.BalancerSettings:
    """Build settings; the first value holds the request classes, the eighth the tenants' shares."""
    request_classes = tuple(
        balancer_settings.RequestClass(
            list(balancer_settings.Idempotency)[effect],
            list(balancer_settings.DeduplicationScope)[scope],
            *rest,
        )
        for effect, scope, *rest in classes
    )
    before, shares, after = values[:6], values[6], values[7:]
    tenants = tuple(balancer_settings.Tenant(share) for share in shares)
    return balancer_settings.BalancerSettings(*(request_classes, *before, tenants, *after))


class Decisions:
    """One instance of the decision module that takes and returns rows."""

    def __init__(self, settings: Row, seed: int) -> None:
        self._balancer = Balancer(decode_settings(*settings), seed)

    def reconfigure(self, settings: Row) -> None:
        """Apply new settings."""
        self._balancer.reconfigure(decode_settings(*settings))

    def handle(self, now: int, events: list[Row]) -> list[Row]:
        """Return the actions for a batch of events; a failure of the decisions is a row of its own."""
        try:
            actions = self._balancer.handle(now, [decode_event(row) for row in events])
        except IndexError as error:
            return [["crash", f"{type(error).__name__}: {error}"]]
        return [encode_action(action) for action in actions]
