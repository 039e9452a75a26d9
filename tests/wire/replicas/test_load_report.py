"""The load reports of replicas."""

from __future__ import annotations

from lockspoke.wire.replicas.load_report import decode_load_report


def test_load_report_needs_a_value_for_every_name() -> None:
    assert decode_load_report("b=2, a=1", ("a", "b")) == (1.0, 2.0)
    assert (
        decode_load_report("a=1", ("a", "b"))
        == decode_load_report("a=x,b=1", ("a", "b"))
        == decode_load_report("", ())
        == ()
    )
