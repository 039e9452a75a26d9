"""Expands Ansible's host ranges, such as `w[01:20]`, `w[10:20:5]` and `w[a:c]`; a name may have several."""

from __future__ import annotations

import re
import string
from itertools import product

from .limits import MAX_HOSTS

_RANGE = re.compile(r"\[([^\[\]]*)\]")
_LETTERS = string.ascii_letters  # Ansible orders them from a to z, then A to Z.


class RangeError(ValueError):
    """A range can't be expanded; the message says why and how to write it."""


def expand_range(name: str) -> list[str]:
    """Return the host names that a name stands for, in order; without a range that is the name itself.

    A range includes its end and may have a step. Its bounds are two numbers or two single letters; if the
    first number has leading zeros, all numbers are padded to its width.

    Raises:
        RangeError: A range is not valid, brackets hold no colon, or there are too many hosts.
    """
    if "[" not in name and "]" not in name:
        return [name]
    parts: list[list[str]] = []
    position, count = 0, 1
    for match in _RANGE.finditer(name):
        parts.append([name[position : match.start()]])
        if ":" not in match[1]:
            raise RangeError(f"{match[0]!r} is no range; write [first:last] or [first:last:step]")
        parts.append(_expand_bounds(match[1]))
        count *= len(parts[-1])
        if count > MAX_HOSTS:
            raise RangeError(f"{name!r} stands for more than {MAX_HOSTS} hosts; split it")
        position = match.end()
    parts.append([name[position:]])
    if any(bracket in text for part in parts[::2] for text in part for bracket in "[]"):
        raise RangeError(f"{name!r} has a bracket without its partner; write [first:last]")
    return ["".join(combination) for combination in product(*parts)]


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
