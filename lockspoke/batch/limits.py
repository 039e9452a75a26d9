"""Limits of the batch front that a reload may change."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FrontLimits:
    """Shared by the front and its handlers."""

    file_size: int  # bytes of the largest file
