"""Settings of the batch front."""

from __future__ import annotations

from typing import Annotated

import msgspec

from lockspoke.units import MEBIBYTE
from lockspoke.wire.discovery.endpoint_list import EndpointListError, decode_address

Count = Annotated[int, msgspec.Meta(ge=1)]


class BatchSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The section `[batch]`; field names are the keys of the file."""

    listen: str  # host:port
    store: str  # a folder that survives restarts
    kind: str = "bulk"  # the request class of a line
    concurrency: Count = 4  # lines in flight
    tries: Count = 3  # failed attempts after which a line has failed
    max_file_mb: Count = 200
    max_lines: Count = 50000
    connections: Count = 64
    token_env: str = ""  # the environment variable that holds the key clients must send

    def __post_init__(self) -> None:
        """Check what types cannot express.

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
        """Host and port to listen at."""
        return decode_address(self.listen, 0)

    @property
    def file_limit(self) -> int:
        """Bytes of the largest file."""
        return self.max_file_mb * MEBIBYTE
