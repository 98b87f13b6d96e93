"""Types of values that other processes write, with the bounds that they must keep.

A value outside them is refused where it is decoded, so that no arithmetic, encoding or
system call behind that has to expect it.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

MAX_COUNT = 2**53 - 1
"""Largest integer that every JSON implementation carries exactly."""
MAX_UNIX_MS = 4_102_444_800_000
"""Latest time of an event that has happened: the beginning of the year 2100."""
MAX_TEXT_LENGTH = 256
MAX_CHECKPOINT_LENGTH = 4096

Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
SignedCount = Annotated[int, Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
UnixMs = Annotated[int, Meta(ge=0, le=MAX_UNIX_MS)]
Quantity = Annotated[float, Meta(ge=0, le=MAX_COUNT)]
SignedQuantity = Annotated[float, Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Text = Annotated[str, Meta(max_length=MAX_TEXT_LENGTH)]
Checkpoint = Annotated[str, Meta(max_length=MAX_CHECKPOINT_LENGTH)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT_LENGTH)]

_LABEL = r"[A-Za-z0-9_-]{1,63}"
_HOST = rf"{_LABEL}(?:\.{_LABEL})*"
_PORT = (
    r"(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}"
    r"|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"
)
HOST_PORT_PATTERN = rf"^{_HOST}:{_PORT}\Z"
LISTEN_ADDRESS_PATTERN = rf"^{_HOST}:(?:0|{_PORT})\Z"
LINK_URL_PATTERN = rf"^tcp://{_HOST}:{_PORT}\Z"

HostPort = Annotated[str, Meta(pattern=HOST_PORT_PATTERN, max_length=MAX_TEXT_LENGTH)]
ListenAddress = Annotated[
    str, Meta(pattern=LISTEN_ADDRESS_PATTERN, max_length=MAX_TEXT_LENGTH)
]
LinkUrl = Annotated[str, Meta(pattern=LINK_URL_PATTERN, max_length=MAX_TEXT_LENGTH)]
UpstreamId = Annotated[str, Meta(pattern=r"^[!-{}~]+\Z", max_length=MAX_TEXT_LENGTH)]
"""Printable ASCII without `|`, as it is part of header fields and of upstream keys."""

__all__ = [
    "MAX_CHECKPOINT_LENGTH",
    "MAX_COUNT",
    "MAX_TEXT_LENGTH",
    "Checkpoint",
    "Count",
    "HostPort",
    "LinkUrl",
    "ListenAddress",
    "Name",
    "Quantity",
    "SignedCount",
    "SignedQuantity",
    "Text",
    "UnixMs",
    "UpstreamId",
]
