"""Golden transcripts: bytes as readable text in JSON files, and what in them cannot be the same twice."""

from __future__ import annotations

import hashlib
import json
import re
from pathlib import Path
from typing import Any

DATA = Path(__file__).parent / "data" / "wire"
_OVERLOADED = re.compile(rb"(\r\nRetry-After: )[0-9]+\.[0-9]{3}(\r\n(?:[^\r]+\r\n)*\r\noverloaded\n)")
_ID = re.compile(
    rb"\b(file-|upload_|part_|batch_req_|batch_|req_)[0-9a-f]{24}(?![0-9a-f])|(?<=\r\nReq-Id: )[0-9a-f]{16}\b"
)
RECORDING = False  # set by record_wire.py alone


class Normaliser:
    """Puts a name in the place of what no run can fix. All else is compared byte for byte."""

    def __init__(self) -> None:
        self._ids: dict[bytes, bytes] = {}

    def normalise(self, data: bytes, ports: dict[int, str] | None = None) -> bytes:
        """Replace what varies, and nothing else.

        - ports that the kernel picked, by the name of who listens there;
        - ids that the batch front draws, by their kind and the order in which they come;
        - times of the batch front's objects, whole seconds since 1970;
        - the ETag of a result file, whose lines hold such ids: where it is the SHA-256 of the body under it;
        - the remaining time of a call, in Req-Deadline-Ms as a replica gets it;
        - the advice on when to come back of an overload reply: the policy's figure, from its clock and draw.
        """
        head, _, body = data.partition(b"\r\n\r\n")
        sha = hashlib.sha256(body).hexdigest().encode()
        data = head.replace(b'"%b"' % sha, b'"<SHA-256 of the body>"') + data[len(head) :]
        for port, name in (ports or {}).items():
            data = re.sub(rb"(?<![0-9])%d(?![0-9])" % port, b"<port of %b>" % name.encode(), data)
        data = re.sub(rb"(?i)(\r\nreq-deadline-ms: )[0-9]+", rb"\1<remaining ms>", data)
        data = _OVERLOADED.sub(rb"\1<seconds>\2", data)
        data = re.sub(rb'("(?:created|[a-z_]+_at)": ?)[0-9]{9,11}\b', rb"\1<time>", data)
        return _ID.sub(self._named, data)

    def _named(self, found: re.Match[bytes]) -> bytes:
        kind = found[1] or b""
        if not kind and found[0].startswith(b"0000"):
            return found[0]  # the tests' own
        if found[0] not in self._ids:
            count = sum(one.startswith(b"<%bid " % kind) for one in self._ids.values()) + 1
            self._ids[found[0]] = b"<%bid %d>" % (kind, count)
        return self._ids[found[0]]


def readable(data: bytes) -> list[str]:
    """Bytes as lines of text, one character a byte; JSON escapes what is not plain."""
    return [line.decode("latin-1") for line in re.split(rb"(?<=\n)", data) if line]


def compare(name: str, got: dict[str, Any]) -> None:
    """Hold what was got against a golden file; the recorder writes it instead."""
    path = DATA / f"{name}.json"
    if RECORDING:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(got, indent=1, ensure_ascii=True) + "\n")
        return
    want = json.loads(path.read_text())
    assert list(got) == list(want)
    for case, said in want.items():
        assert got[case] == said, f"{name}: {case}"


def compare_bytes(name: str, got: dict[str, list[bytes]], ports: dict[int, str] | None = None) -> None:
    """The same for bytes: by case, a list of messages."""
    normaliser = Normaliser()
    compare(
        name,
        {case: [readable(normaliser.normalise(one, ports)) for one in said] for case, said in got.items()},
    )
