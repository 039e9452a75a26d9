"""Settings of the batch front."""

from __future__ import annotations

from typing import Annotated

import msgspec

from lockspoke.units import MEBIBYTE
from lockspoke.wire.discovery.endpoint_list import EndpointListError, decode_address

Count = Annotated[int, msgspec.Meta(ge=1)]


class BatchSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The section `[batch]`; field names are the keys of the file."""

    listen: str  # The address to listen on, as host:port.
    store: str  # The folder of the store; it must survive restarts.
    kind: str = "bulk"  # The request class of lines.
    concurrency: Count = 4  # The maximum number of lines in flight.
    tries: Count = 3  # The number of failed attempts after which a line fails.
    max_file_mb: Count = 200  # The maximum size of a file in mebibytes.
    max_lines: Count = 50000  # The maximum number of lines in an input file.
    connections: Count = 64  # The maximum number of client connections.
    # The environment variable with the bearer token that clients must send; empty if none is required.
    token_env: str = ""

    def __post_init__(self) -> None:
        """Check the constraints that the field types cannot express.

        Raises:
            ValueError: The store is empty or the address is malformed.
        """
        if not self.store:
            raise ValueError("store is empty, want a folder")
        try:
            decode_address(self.listen, 0)
        except EndpointListError as error:
            raise ValueError(f"listen is wrong: {error}") from None

    @property
    def address(self) -> tuple[str, int]:
        """The host and port to listen on."""
        return decode_address(self.listen, 0)

    @property
    def file_limit(self) -> int:
        """The maximum size of a file in bytes."""
        return self.max_file_mb * MEBIBYTE
