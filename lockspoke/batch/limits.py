"""Limits of the batch front that a reload may change."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FrontLimits:
    """Limits shared by the front and its handlers."""

    file_size: int  # The maximum size of a file in bytes.
