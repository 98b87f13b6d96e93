"""Base class of the messages between the system's processes."""

from __future__ import annotations

from msgspec import Struct


class Message(Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages: encoded by position, with the class name as its tag."""


__all__ = ["Message"]
