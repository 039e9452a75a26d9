"""What an instance keeps of the election where a folder lasts: term and generation, neither to go back.

Grants are not kept: an instance that starts anew is silent for a lease instead, which is shorter than its
start, and no grant has to wait for a disk. Terms are kept by a reserve ahead, so that the file is written
when the reserve is used up, not with each election.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

FILE_NAME = "address.json"
TERMS_AHEAD = 1_000  # terms that a write covers ahead


class RecordError(ValueError):
    """A record that can't be gone on from; the text says why, and the mend."""


class TermRecord:
    """The file, and what it holds."""

    def __init__(self, folder: Path, name: str, generation: int) -> None:
        """Read it. Raises RecordError where it is spoilt, another's, or from a later list of members."""
        self.path, self.name = folder / FILE_NAME, name
        self.term, self.generation = 0, generation
        self.write_error = ""  # why it is not kept at present
        try:
            raw = json.loads(self.path.read_text())
            member, term, kept = str(raw["name"]), int(raw["term"]), int(raw["generation"])
        except FileNotFoundError:
            return
        except (OSError, ValueError, KeyError, TypeError) as error:
            raise RecordError(
                f"{self.path} can't be read ({error}); remove it if its machine is new"
            ) from None
        if member != name:
            raise RecordError(f"{self.path} is {member}'s, not {name}'s; give each member its own folder")
        if generation < kept:
            raise RecordError(
                f"generation is {generation}, but {self.path} says that {kept} has run here;"
                " take the later list of members"
            )
        if generation > kept + 1:
            raise RecordError(
                f"generation is {generation}, but {self.path} has {kept}; change by one at a time"
            )
        self.term = term

    def needs_write(self, term: int, generation: int) -> bool:
        """Whether it has to be written."""
        return term > self.term or generation != self.generation or bool(self.write_error)

    def write(self, term: int, generation: int) -> None:
        """Write it whole, beside and renamed. Takes as long as the disk does; called off the loop.

        A disk that is full or gone doesn't end a lease: `failing` tells, and the next call tries again.
        """
        ahead = max(self.term, term + TERMS_AHEAD)
        beside = self.path.with_name(f".{FILE_NAME}.{os.getpid()}")
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            with beside.open("w") as file:
                json.dump({"name": self.name, "term": ahead, "generation": generation}, file)
                file.flush()
                os.fsync(file.fileno())
            beside.replace(self.path)
            folder = os.open(self.path.parent, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError as error:
            self.write_error = f"{self.path}: {error.strerror}"
            return
        self.term, self.generation, self.write_error = ahead, generation, ""
