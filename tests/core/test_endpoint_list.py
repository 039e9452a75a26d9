"""The polls of the endpoint list."""

from __future__ import annotations

from lockspoke.units import MILLISECOND, SECOND
from tests.core.world import World


def test_an_operators_ban_does_not_stop_the_polls_after_a_failed_one() -> None:
    """Regression: the ban was taken for the answer to the poll, and discovery was never polled again."""
    world = World(polls_endpoint_list=True)
    world.core.endpoint_list_failed()
    world.watches.clear()
    assert world.core.set_banned("w0", True)
    world.pass_time(SECOND)
    assert world.watches == [True]


def test_the_balancer_polls_the_list_again_after_a_failure() -> None:
    world = World(polls_endpoint_list=True)
    assert world.watches == [True]
    world.core.endpoint_list_failed()
    world.pass_time(2000 * MILLISECOND)
    assert world.watches == [True, True]


def test_the_list_is_watched_too_where_the_balancer_does_not_poll_it() -> None:
    world = World()
    world.core.start()
    assert world.watches == [True]
    world.core.endpoint_list_failed()
    world.pass_time(2 * SECOND)
    assert world.watches == [True, True]
