"""Ansible's host patterns: `lis-1:&gen_c:!w3`, wildcards, `~regex`, `group[0:3]`.

A pattern selects the hosts that a gateway serves. As in Ansible, the order of the terms does not matter: the
union of the terms without a sign is taken first, then the intersections (`&`) are applied, then the
exclusions (`!`). Without an unsigned term, all hosts are selected at first.
"""

from __future__ import annotations

import fnmatch
import re
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedInput, VisitError

# Brackets with letters in them are a wildcard; digits in brackets at the end of a term are a subscript.
_GLOB = r"\[[^\]\s]+\](?=[^,:\s])|\[[^\]\s0-9:-][^\]\s]*\]"
GRAMMAR = r"""
start: _SEPARATOR? (term (_SEPARATOR term)*)? _SEPARATOR?
term: SIGN? (REGEX | NAME) SUBSCRIPT?
SIGN: "&" | "!"
REGEX: /~(?:[^,:\[\](){}\\\s]|\\.|\[(?:[^\]\\]|\\.)+\]|\((?:[^()\\]|\\.)*\)|\{[0-9,]*\})+/
NAME: /(?:[^,:&!~\[\]\s]|GLOB)(?:[^,:\[\]\s]|GLOB)*/
SUBSCRIPT: /\[(?:-?[0-9]{1,6}|[0-9]{0,6}[:-][0-9]{0,6})\]/
_SEPARATOR: /[,:\s]+/
""".replace("GLOB", _GLOB)


class PatternError(ValueError):
    """The text is not a valid pattern; `column` is the position of the error, from 1."""

    def __init__(self, text: str, column: int) -> None:
        super().__init__(text)
        self.column = column


@dataclass(frozen=True, slots=True)
class Term:
    """One term of a pattern; `sign` is empty, `&` or `!`, and `subscript` selects from the matching hosts."""

    sign: str
    text: str
    matches: Callable[[str], bool]
    subscript: slice | int | None = None


class _TermBuilder(Transformer[Token, Any]):
    """Turns the parse tree into terms; Lark calls the method with the name of each rule."""

    def term(self, parts: list[Any]) -> Term:
        sign = ""
        if isinstance(parts[0], Token) and parts[0].type == "SIGN":
            sign = str(parts.pop(0))
        text, parsed_subscript = str(parts[0]), _parse_subscript(str(parts[1])) if len(parts) > 1 else None
        if text.startswith("~"):
            return Term(sign, text, re.compile(text[1:]).match, parsed_subscript)  # type: ignore[arg-type]
        if any(char in text for char in "*?["):
            return Term(sign, text, re.compile(fnmatch.translate(text)).match, parsed_subscript)  # type: ignore[arg-type]
        return Term(sign, text, text.__eq__, parsed_subscript)

    def start(self, parts: list[Any]) -> tuple[Term, ...]:
        return tuple(parts)


def _parse_subscript(text: str) -> slice | int:
    """Return the index or slice of a subscript; as in Ansible, a slice includes its end."""
    first, colon, last = text[1:-1].partition(":") if ":" in text else text[1:-1].rpartition("-")
    if not colon or not (first or ":" in text):
        return int(text[1:-1])
    return slice(int(first or 0), int(last) + 1 if last else None)


@lru_cache(maxsize=1)
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr")


@dataclass(frozen=True, slots=True)
class Pattern:
    """A parsed pattern and its text."""

    text: str
    terms: tuple[Term, ...]

    def select(self, hosts: Iterable[str], groups: Mapping[str, list[str]]) -> list[str]:
        """Return the selected hosts, in the order of `hosts`.

        `groups` holds the hosts of each group, including those of its child groups. The terms `all` and `*`
        match all hosts.
        """
        order = list(hosts)
        position = {name: index for index, name in enumerate(order)}

        def matching_hosts(term: Term) -> set[str]:
            if term.text in ("all", "*"):
                found = order
            else:
                candidates = {
                    name for group, names in groups.items() if term.matches(group) for name in names
                }
                if not candidates or any(char in term.text for char in "*?[~"):
                    candidates |= {name for name in order if term.matches(name)}
                found = sorted((name for name in candidates if name in position), key=position.__getitem__)
            if isinstance(term.subscript, slice):
                return set(found[term.subscript])
            if term.subscript is not None:
                return {found[term.subscript]} if -len(found) <= term.subscript < len(found) else set()
            return set(found)

        unsigned = [term for term in self.terms if not term.sign]
        selected = set().union(*map(matching_hosts, unsigned)) if unsigned else set(order)
        for term in self.terms:
            if term.sign == "&":
                selected &= matching_hosts(term)
        for term in self.terms:
            if term.sign == "!":
                selected -= matching_hosts(term)
        return [name for name in order if name in selected]


def parse_pattern(text: str) -> Pattern:
    """Parse a pattern.

    Raises:
        PatternError: The text is not a valid pattern or is too long.
    """
    if len(text) > 4096:
        raise PatternError("the pattern is longer than 4096 characters", 4097)
    try:
        tree = _parser().parse(text)
        return Pattern(text, _TermBuilder().transform(tree))
    except UnexpectedInput as error:
        column = getattr(error, "column", None)
        column = column if isinstance(column, int) and column > 0 else len(text) + 1
        raise PatternError(f"{text!r} is no host pattern; it breaks at character {column}", column) from None
    except VisitError as error:
        raise PatternError(f"{text!r}: {error.orig_exc}", 1) from None
