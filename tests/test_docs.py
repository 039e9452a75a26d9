"""Tests that paths, links, anchors, tests and names of the code that the documentation mentions exist."""

from __future__ import annotations

import ast
import re
from collections import Counter
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "lockspoke"
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]

FENCE = re.compile(r"^```.*?^```$", re.MULTILINE | re.DOTALL)
CODE_SPAN = re.compile(r"`([^`]+)`")
LINK = re.compile(r"(?<!!)\[[^\]]*\]\(([^)\s]+)\)")
HEADING = re.compile(r"^#{1,6} (.+)$", re.MULTILINE)
URL = re.compile(r"[a-z]+:")

RELATIVE_PATH = re.compile(r"\.?[\w-]+(/[\w.-]+)+/?|[\w-]+/")
FILE_NAME = re.compile(r"[\w-]+\.(py|md)")
TEST_NAME = re.compile(r"(tests/[\w/]+/)?test_\w+(\.py)?(: ?|::).*|test_\w+")
TEST_NODE = re.compile(r"(?P<file>tests/(?:\w+/)*test_\w+\.py)::(?P<name>test_\w+)(?:\[(?P<case>[^\]]+)\])?")
CODE_NAME = re.compile(r"(?:[A-Z][a-z]+){2,}(?:\.\w+)*|[A-Z][a-z]+\.\w+|[A-Z]+(?:_[A-Z]+)+")

# Code spans that look like paths of the repository but aren't.
NOT_IN_REPOSITORY = {
    "group_vars/",  # of Ansible's inventories
    "host_vars/",
}
# Names from other programs, such as the environment and libraries, that the documentation mentions.
NOT_IN_CODE: set[str] = set()


def page_name(page: Path) -> str:
    return str(page.relative_to(ROOT))


every_page = pytest.mark.parametrize("page", PAGES, ids=page_name)


@cache
def text_of(page: Path) -> str:
    """Return the text of a page without fenced blocks, whose paths are examples."""
    return FENCE.sub("", page.read_text())


def code_spans(page: Path) -> list[str]:
    return [" ".join(span.split()) for span in CODE_SPAN.findall(text_of(page))]


# Paths


def named_folders(page: Path) -> list[Path]:
    return [ROOT / span for span in code_spans(page) if span.endswith("/") and (ROOT / span).is_dir()]


def named_paths(page: Path) -> set[str]:
    """Return the paths in the code spans of a page, including Python files in commands."""
    spans = code_spans(page)
    paths = {span for span in spans if RELATIVE_PATH.fullmatch(span) or FILE_NAME.fullmatch(span)}
    words = {word for span in spans for word in span.split()}
    return paths | {word for word in words if RELATIVE_PATH.fullmatch(word) and word.endswith(".py")}


def path_exists(path: str, folders: list[Path]) -> bool:
    """Return whether a path exists in the repository or package; a bare file name, in one of the folders."""
    if "/" not in path:
        return any((folder / path).is_file() for folder in (ROOT, *folders))
    as_named = (ROOT / path, PACKAGE / path)
    return any(one.exists() for one in as_named) or (PACKAGE / f"{path}.py").is_file()


@every_page
def test_paths_that_a_page_names_exist(page: Path) -> None:
    folders = named_folders(page)
    missing = {path for path in named_paths(page) if not path_exists(path, folders)}
    assert not sorted(missing - NOT_IN_REPOSITORY)


# Links


@cache
def anchors(page: Path) -> set[str]:
    """Return the anchors of a page's headings: lower case, without punctuation, numbered if not unique."""
    seen: Counter[str] = Counter()
    found = set()
    for heading in HEADING.findall(text_of(page)):
        anchor = re.sub(r"[^\w\- ]", "", heading.strip().lower()).replace(" ", "-")
        found.add(f"{anchor}-{seen[anchor]}" if seen[anchor] else anchor)
        seen[anchor] += 1
    return found


def link_fault(page: Path, target: str) -> str:
    """Return what is wrong with a link, or an empty string."""
    path, _, anchor = target.partition("#")
    linked = (page.parent / path).resolve() if path else page
    if not linked.exists():
        return f"{target}: there is no such file"
    if anchor and (linked.suffix != ".md" or anchor not in anchors(linked)):
        return f"{target}: there is no such heading"
    return ""


@every_page
def test_links_of_a_page_resolve(page: Path) -> None:
    targets = [target for target in LINK.findall(text_of(page)) if not URL.match(target)]
    assert not [fault for target in targets if (fault := link_fault(page, target))]


# Tests


@cache
def functions_of(path: Path) -> dict[str, ast.FunctionDef | ast.AsyncFunctionDef]:
    """Return the top-level functions of a file by name."""
    functions = [
        node
        for node in ast.parse(path.read_text()).body
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    ]
    return {function.name: function for function in functions}


def parameter_ids(function: ast.FunctionDef | ast.AsyncFunctionDef) -> set[str]:
    """Return the names and constants in the decorators of a test, which make up the ids of its cases."""
    nodes = [node for decorator in function.decorator_list for node in ast.walk(decorator)]
    names = {node.id for node in nodes if isinstance(node, ast.Name)}
    return names | {str(node.value) for node in nodes if isinstance(node, ast.Constant)}


def node_fault(span: str) -> str:
    """Return what is wrong with a reference to a test, or an empty string."""
    node = TEST_NODE.fullmatch(span)
    if node is None:
        return f"{span}: want tests/FOLDER/test_FILE.py::test_NAME, or that with [CASE]"
    path = ROOT / node["file"]
    function = functions_of(path).get(node["name"]) if path.is_file() else None
    if function is None:
        return f"{span}: there is no such test"
    if node["case"] and not set(node["case"].split("-")) <= parameter_ids(function):
        return f"{span}: the test has no such case"
    return ""


@every_page
def test_tests_that_a_page_names_exist(page: Path) -> None:
    tests = {span for span in code_spans(page) if "::" in span or TEST_NAME.fullmatch(span)}
    assert not sorted(fault for span in tests if (fault := node_fault(span)))


# Names of the code


@cache
def words_of_the_code() -> frozenset[str]:
    files = [*PACKAGE.rglob("*.py"), *(ROOT / "tests").rglob("*.py"), *(ROOT / "bench").rglob("*.py")]
    return frozenset(word for file in files for word in re.findall(r"\w+", file.read_text()))


@every_page
def test_classes_and_constants_that_a_page_names_exist(page: Path) -> None:
    names = {span for span in code_spans(page) if CODE_NAME.fullmatch(span)} - NOT_IN_CODE
    assert not sorted(name for name in names if not set(name.split(".")) <= words_of_the_code())


# Tests of the checks above


@pytest.mark.parametrize(
    "target", ["docs/none.md", "docs/none.md#figures", "docs/address.md#none", "#none", "LICENSE#figures"]
)
def test_a_link_that_leads_nowhere_is_found(target: str) -> None:
    assert not link_fault(PAGES[0], "docs/address.md#figures")
    assert link_fault(PAGES[0], target)


@pytest.mark.parametrize(
    "span",
    [
        "test_docs.py: a_link_that_leads_nowhere",
        "tests/test_docs.py::test_a_link_that_leads_nowhere",
        "tests/test_docs.py::test_a_link_that_leads_nowhere_is_found[nowhere]",
        "tests/test_none.py::test_a_link_that_leads_nowhere_is_found",
    ],
)
def test_a_test_that_does_not_exist_is_found(span: str) -> None:
    assert not node_fault("tests/test_docs.py::test_a_link_that_leads_nowhere_is_found[#none]")
    assert node_fault(span)


def test_a_path_that_does_not_exist_is_found() -> None:
    folder = [PACKAGE / "address"]
    assert all(path_exists(path, folder) for path in ("README.md", "core/core.py", "core/", "settings.py"))
    assert not any(path_exists(path, []) for path in ("core/none.py", "none/", "settings.py"))
