"""A durable record of the highest term and generation, so that neither goes back after a restart.

Votes are not recorded: a member that restarts is silent for the length of a lease instead, which is less than
its start takes, and no vote has to wait for a disk. The recorded term is `TERMS_AHEAD` above the
current one, so that the file is written when that margin is used up and not at each election.
"""

from __future__ import annotations

import json
import os
from pathlib import Path

FILE_NAME = "address.json"
TERMS_AHEAD = 1_000


class RecordError(ValueError):
    """A record that can't be used; the text says why, and what to do."""


class TermRecord:
    """The term record of a member, in a folder of its own.

    Attributes:
        path: The file.
        name: The member that the record belongs to.
        term: The recorded term.
        generation: The recorded generation.
        write_error: Why the latest write has failed; empty if it has not.
    """

    def __init__(self, folder: Path, name: str, generation: int) -> None:
        """Read the record if there is one.

        Raises:
            RecordError: It is malformed, belongs to another member, or its generation is neither this one nor
                the previous one.
        """
        self.path, self.name = folder / FILE_NAME, name
        self.term, self.generation = 0, generation
        self.write_error = ""
        try:
            raw = json.loads(self.path.read_text())
            member, term, recorded = str(raw["name"]), int(raw["term"]), int(raw["generation"])
        except FileNotFoundError:
            return
        except (OSError, ValueError, KeyError, TypeError) as error:
            raise RecordError(
                f"{self.path} can't be read ({error}); remove it if its machine is new"
            ) from None
        self._check(member, recorded)
        self.term = term

    def _check(self, member: str, recorded_generation: int) -> None:
        if member != self.name:
            raise RecordError(
                f"{self.path} is {member}'s, not {self.name}'s; give each member its own folder"
            )
        if self.generation < recorded_generation:
            raise RecordError(
                f"generation is {self.generation}, but {self.path} says that {recorded_generation}"
                " has run here; take the later list of members"
            )
        if self.generation > recorded_generation + 1:
            raise RecordError(
                f"generation is {self.generation}, but {self.path} has {recorded_generation};"
                " change by one at a time"
            )

    def needs_write(self, term: int, generation: int) -> bool:
        """Whether the record has to be written."""
        return term > self.term or generation != self.generation or bool(self.write_error)

    def write(self, term: int, generation: int) -> None:
        """Replace the record atomically. Blocks until the disk has it, so call it off the event loop.

        A full or missing disk does not end the lease: `write_error` is set, and the next call retries.
        """
        recorded_term = max(self.term, term + TERMS_AHEAD)
        content = json.dumps({"name": self.name, "term": recorded_term, "generation": generation})
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            self._replace(content)
        except OSError as error:
            self.write_error = f"{self.path}: {error.strerror}"
            return
        self.term, self.generation, self.write_error = recorded_term, generation, ""

    def _replace(self, content: str) -> None:
        temporary = self.path.with_name(f".{FILE_NAME}.{os.getpid()}")
        with temporary.open("w") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self.path)
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
