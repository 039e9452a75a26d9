"""The totals, and their names in the log."""

from __future__ import annotations

from lockspoke.balancing.events import Outcome
from lockspoke.core.totals import RequestOutcome, Totals


def test_log_fields_name_the_counters_that_are_not_0() -> None:
    totals = Totals()
    assert totals.log_fields() == {}
    totals.requests = 3
    totals.request_outcomes[RequestOutcome.SERVED] += 2
    totals.request_outcomes[RequestOutcome.HANDED_OFF] += 1
    totals.attempt_outcomes[Outcome.NEVER_SENT] += 1
    assert totals.log_fields() == {"requests": 3, "served": 2, "handed_off": 1, "outcome_never_sent": 1}


def test_reading_a_counter_does_not_add_it_to_the_log_fields() -> None:
    totals = Totals()
    assert totals.request_outcomes[RequestOutcome.FAILED] == 0
    assert totals.log_fields() == {}


def test_no_two_counters_share_a_name() -> None:
    totals = Totals()
    totals.requests = totals.attempts = totals.endpoint_list_polls_failed = totals.decisions_failed = 1
    totals.request_outcomes.update(RequestOutcome)
    totals.attempt_outcomes.update(Outcome)
    assert len(totals.log_fields()) == 4 + len(RequestOutcome) + len(Outcome)
