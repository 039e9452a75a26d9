"""Ansible's host patterns: `lis-1:&gen_c:!w3`, wildcards, `~regex`, `group[0:3]`.

A pattern selects the hosts that a gateway serves. As in Ansible, plain terms are combined first, then the
intersections, then the exclusions, whatever their order; without a plain term, all hosts are the base.
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

# Letters in brackets are a wildcard; digits at the end of a term are a subscript.
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
    """A text that is no pattern; `column` counts from 1."""

    def __init__(self, text: str, column: int) -> None:
        super().__init__(text)
        self.column = column


@dataclass(frozen=True, slots=True)
class Term:
    """One term of a pattern: `sign` is empty, & or !; `subscript` selects from the matching hosts."""

    sign: str
    text: str
    matches: Callable[[str], bool]
    subscript: slice | int | None = None


class _TermBuilder(Transformer[Token, Any]):
    """Builds terms from the parse tree."""

    def term(self, parts: list[Any]) -> Term:
        sign = ""
        if isinstance(parts[0], Token) and parts[0].type == "SIGN":
            sign = str(parts.pop(0))
        text, cut = str(parts[0]), _parse_subscript(str(parts[1])) if len(parts) > 1 else None
        if text.startswith("~"):
            return Term(sign, text, re.compile(text[1:]).match, cut)  # type: ignore[arg-type]
        if any(letter in text for letter in "*?["):
            return Term(sign, text, re.compile(fnmatch.translate(text)).match, cut)  # type: ignore[arg-type]
        return Term(sign, text, text.__eq__, cut)

    def start(self, parts: list[Any]) -> tuple[Term, ...]:
        return tuple(parts)


def _parse_subscript(text: str) -> slice | int:
    """The index or slice of a subscript; as in Ansible, the end of a slice is included."""
    first, colon, last = text[1:-1].partition(":") if ":" in text else text[1:-1].rpartition("-")
    if not colon or not (first or ":" in text):
        return int(text[1:-1])
    return slice(int(first or 0), int(last) + 1 if last else None)


@lru_cache(maxsize=1)
def _parser() -> Lark:
    return Lark(GRAMMAR, parser="lalr")


@dataclass(frozen=True, slots=True)
class Pattern:
    """A parsed pattern."""

    text: str
    terms: tuple[Term, ...]

    def select(self, hosts: Iterable[str], groups: Mapping[str, list[str]]) -> list[str]:
        """The hosts that the pattern selects, in the order of `hosts`.

        `groups` gives the hosts of each group, those of its children among them; `all` and `*` are all.
        """
        order = list(hosts)
        place = {name: at for at, name in enumerate(order)}

        def matched(term: Term) -> set[str]:
            if term.text in ("all", "*"):
                found = order
            else:
                inside = {name for group, names in groups.items() if term.matches(group) for name in names}
                if not inside or any(letter in term.text for letter in "*?[~"):
                    inside |= {name for name in order if term.matches(name)}
                found = sorted((name for name in inside if name in place), key=place.__getitem__)
            if isinstance(term.subscript, slice):
                return set(found[term.subscript])
            if term.subscript is not None:
                return {found[term.subscript]} if -len(found) <= term.subscript < len(found) else set()
            return set(found)

        plain = [term for term in self.terms if not term.sign]
        chosen = set().union(*map(matched, plain)) if plain else set(order)
        for term in self.terms:
            if term.sign == "&":
                chosen &= matched(term)
        for term in self.terms:
            if term.sign == "!":
                chosen -= matched(term)
        return [name for name in order if name in chosen]


def parse_pattern(text: str) -> Pattern:
    """Parse a pattern. Raises PatternError."""
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
