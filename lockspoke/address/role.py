"""The role of a member in the election."""

from __future__ import annotations

from enum import Enum


class ElectionRole(Enum):
    """The role of a member. The values are shown to operators."""

    SILENT = "silent"  # The member has just started; votes of its previous process may still be valid.
    FOLLOWER = "following"
    PRE_CANDIDATE = "asking"
    CANDIDATE = "claiming"
    HOLDER = "holding"
    LEAVING = "leaving"  # The member is shutting down: it neither votes nor becomes a candidate.

    @property
    def is_active(self) -> bool:
        """Whether the member is a candidate for the lease or holds it."""
        return self in (ElectionRole.HOLDER, ElectionRole.PRE_CANDIDATE, ElectionRole.CANDIDATE)
