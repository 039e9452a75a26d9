"""The catalogue of problem codes, and problems of an inventory with their places."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class Place(NamedTuple):
    """A place in a file. Lines and columns count from 1; a 0 means the whole file or the whole line."""

    file: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        """Return the place in the form of compilers, `file:line:column`, without parts that are 0."""
        return ":".join([self.file, *(str(part) for part in (self.line, self.column) if part)])


class Severity(Enum):
    """How severe a problem is."""

    ERROR = "error"  # The host or file concerned is not used.
    WARNING = "warning"  # The host or file is used, but maybe not as its author intended.


@dataclass(frozen=True, slots=True)
class ProblemCode:
    """A kind of problem. Its `id` is published, so its meaning never changes.

    `description` says what the problem is and what happens to the hosts concerned.
    """

    id: str
    name: str
    severity: Severity
    description: str


def _error(code_id: str, name: str, explanation: str) -> ProblemCode:
    return ProblemCode(code_id, name, Severity.ERROR, explanation)


def _warning(code_id: str, name: str, explanation: str) -> ProblemCode:
    return ProblemCode(code_id, name, Severity.WARNING, explanation)


# Problems of files
UNREADABLE = _error("INV101", "unreadable", "A source is missing or can't be read; its hosts are held.")
NOT_UTF8 = _error("INV102", "not-utf8", "A source isn't UTF-8 text; its hosts are held.")
TOO_LARGE = _error("INV103", "too-large", "A source, line or value is past the size that is read.")
SYNTAX_ERROR = _error("INV104", "syntax", "The form is broken here, and what follows is not read.")
TOO_DEEP = _error("INV105", "too-deep", "Nesting, aliases or hosts beyond what is read.")
UNKNOWN_FORMAT = _error("INV106", "unknown-form", "Neither the name nor the text tells which form it has.")
NO_REPLICAS = _error("INV107", "no-workers", "A source names no host at all.")
INVENTORY_SCRIPT = _warning(
    "INV108", "script", "An executable inventory script is never run here; it is passed over."
)
ENCRYPTED_FILE = _warning("INV109", "encrypted", "A file under a vault key is passed over.")
# Problems of a file's structure
UNKNOWN_COLUMN = _warning("INV201", "unknown-column", "A column that no setting names is not used.")
NO_NAME_COLUMN = _error("INV202", "no-name-column", "A CSV file's header has no column for the name.")
REPEATED_COLUMN = _error("INV203", "repeated-column", "Two columns of one header stand for the same thing.")
CELL_COUNT = _error("INV204", "cell-count", "A row has more or fewer cells than the header.")
GROUP_KEY = _error("INV205", "group-key", "A group holds hosts, children and vars, nothing else.")
WRONG_TYPE = _error("INV206", "shape", "A mapping, a list or a plain value stands where another is wanted.")
REPEATED_KEY = _error("INV207", "repeated-key", "One mapping has a key twice.")
BAD_RANGE = _error("INV208", "range", "A host range that can't be expanded.")
GROUP_LOOP = _error("INV209", "group-loop", "A group is its own ancestor.")
UNDEFINED_GROUP = _error("INV210", "undefined-group", "A child group that is defined nowhere.")
BAD_ASSIGNMENT = _error("INV211", "assignment", "Something that is no key=value where one is wanted.")
BAD_PRIORITY = _error("INV212", "priority", "ansible_group_priority is no whole number.")
STRAY_VARS = _warning("INV213", "stray-vars", "Variables for a host or group that no source names.")
# Problems of values
NO_NAME = _error("INV301", "no-name", "A row without a name.")
BAD_NAME = _error("INV302", "bad-name", "A name with characters that no worker's name may have.")
NO_ADDRESS = _error("INV303", "no-address", "A worker without a host or port.")
BAD_PORT = _error("INV304", "bad-port", "A port that isn't a whole number from 1 to 65535.")
BAD_HOST = _error("INV305", "bad-host", "A host that is no IP address, where look-ups are not allowed.")
UNUSABLE_HOST = _error("INV306", "unusable-host", "An address that nothing can be sent to.")
UNKNOWN_ZONE = _error("INV307", "unknown-zone", "A zone that the settings don't name.")
UNKNOWN_KIND = _error("INV308", "unknown-kind", "A kind that the settings don't name.")
BAD_NUMBER = _error("INV309", "bad-number", "A weight or cell that is no number in its range.")
UNKNOWN_STATE = _error("INV310", "unknown-state", "A state other than up, draining or removed.")
BAD_LABEL = _error("INV311", "bad-label", "Labels that are not name=value pairs.")
TEMPLATE_VALUE = _error("INV312", "template", "A value that needs templating, which is not done here.")
VAULT_VALUE = _error("INV313", "vault", "A value under a vault key.")
MISSING_VALUE = _error("INV314", "missing", "A value that the settings require.")
# Conflicts between rows or sources
DUPLICATE_NAME = _error("INV401", "name-twice", "Two rows have one name.")
DUPLICATE_ADDRESS = _error("INV402", "same-address", "Two workers have one address.")
CONFLICTING_KINDS = _error("INV403", "two-kinds", "A host stands under two kinds.")
CONFLICTING_ZONES = _error("INV404", "two-zones", "A host stands under two zones.")
SOURCES_DISAGREE = _error("INV405", "sources-disagree", "Two sources give a host different values.")
CONTRADICTS_GROUP = _warning("INV406", "contradicts-group", "A host's own value goes against its group's.")
NOTHING_SELECTED = _warning("INV501", "nothing-selected", "The pattern selects no host.")

CODES = {code.id: code for code in list(globals().values()) if isinstance(code, ProblemCode)}


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem found in an inventory.

    `suggestion` says how to fix it, `related_place` is the place that it conflicts with, and `host` is the
    name of the host concerned, empty if there is none.
    """

    code: ProblemCode
    place: Place
    message: str
    suggestion: str = ""
    related_place: Place | None = None
    host: str = ""

    @property
    def severity(self) -> Severity:
        """The severity of the problem, which depends on its code alone."""
        return self.code.severity

    @property
    def is_error(self) -> bool:
        """Whether some part of the inventory is not used because of this problem."""
        return self.code.severity is Severity.ERROR

    def __str__(self) -> str:
        """Return the message, the related place and the suggestion as one line."""
        related_place = f" (see {self.related_place})" if self.related_place is not None else ""
        suggestion = f"; {self.suggestion}" if self.suggestion else ""
        return f"{self.message}{related_place}{suggestion}"


class ProblemCollector:
    """Collects problems in the order in which they are found, without duplicates."""

    def __init__(self) -> None:
        self.found: dict[Problem, None] = {}

    def add(
        self,
        code: ProblemCode,
        place: Place,
        message: str,
        suggestion: str = "",
        related_place: Place | None = None,
        host: str = "",
    ) -> None:
        """Add a problem, unless an equal one was added before."""
        self.found.setdefault(Problem(code, place, message, suggestion, related_place, host))

    def sorted(self) -> list[Problem]:
        """Return the problems by file, line and column; one for all hosts of a range appears once."""
        unique = {
            (problem.place, problem.code.id, problem.message): problem for problem in reversed(self.found)
        }
        return [unique[key] for key in sorted(unique)]
