"""Base of all messages between the system's processes."""

from __future__ import annotations

from msgspec import Struct


class Message(Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages."""


__all__ = ["Message"]
