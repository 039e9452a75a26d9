"""Ansible's host ranges: `w[01:20]`, `w[10:20:5]`, `w[a:c]`, also several in one name."""

from __future__ import annotations

import re
import string
from itertools import product

from .limits import MAX_HOSTS

_PART = re.compile(r"\[([^\[\]]*)\]")
_LETTERS = string.ascii_letters  # in the order of Ansible: a to z, then A to Z


class RangeError(ValueError):
    """A range that can't be expanded; the text says why and what to write."""


def expand_range(name: str) -> list[str]:
    """The hosts that a name denotes, in order; a name without a range denotes itself.

    Numeric ranges include their end, keep the width of a start with leading zeros and may have a step;
    alphabetic ones consist of single letters. Raises RangeError, also for brackets without a colon.
    """
    if "[" not in name and "]" not in name:
        return [name]
    parts: list[list[str]] = []
    at, count = 0, 1
    for match in _PART.finditer(name):
        parts.append([name[at : match.start()]])
        if ":" not in match[1]:
            raise RangeError(f"{match[0]!r} is no range; write [first:last] or [first:last:step]")
        parts.append(_expand_bounds(match[1]))
        count *= len(parts[-1])
        if count > MAX_HOSTS:
            raise RangeError(f"{name!r} stands for more than {MAX_HOSTS} hosts; split it")
        at = match.end()
    parts.append([name[at:]])
    if any(bracket in text for part in parts[::2] for text in part for bracket in "[]"):
        raise RangeError(f"{name!r} has a bracket without its partner; write [first:last]")
    return ["".join(chosen) for chosen in product(*parts)]


def _expand_bounds(text: str) -> list[str]:
    bounds = text.split(":")
    if len(bounds) > 3:
        raise RangeError(f"[{text}] has more than three parts; write [first:last:step]")
    first, last, step = bounds[0] or "0", bounds[1], bounds[2] if len(bounds) == 3 else "1"
    if not last:
        raise RangeError(f"[{text}] has no end; write [first:last]")
    if not (step.isascii() and step.isdigit() and int(step[:7]) > 0 and len(step) < 7):
        raise RangeError(f"[{text}] has the step {step!r}; write a whole number from 1 on")
    if _is_letter(first) and _is_letter(last):
        low, high = _LETTERS.index(first), _LETTERS.index(last)
        if low > high:
            raise RangeError(f"[{text}] runs backwards; write [{last}:{first}]")
        return list(_LETTERS[low : high + 1 : int(step)])
    if not (_is_number(first) and _is_number(last)):
        raise RangeError(f"[{text}] is neither two numbers nor two letters")
    if first.startswith("0") and len(first) > 1 and len(last) != len(first):
        raise RangeError(f"[{text}] has bounds of different width; write the end with {len(first)} digits")
    low, high = int(first), int(last)
    if low > high:
        raise RangeError(f"[{text}] runs backwards; write [{last}:{first}]")
    if (high - low) // int(step) >= MAX_HOSTS:
        raise RangeError(f"[{text}] stands for more than {MAX_HOSTS} hosts; split it")
    width = len(first) if first.startswith("0") else 1
    return [f"{number:0{width}}" for number in range(low, high + 1, int(step))]


def _is_letter(text: str) -> bool:
    return len(text) == 1 and text in _LETTERS


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) < 10
