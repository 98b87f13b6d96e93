"""Names of runs, attempts and requests, and the choice of a coordinator."""

from __future__ import annotations

import hashlib
import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

INCARNATION_BYTES = 6


def new_incarnation() -> str:
    """Return a name for this run of a process."""
    return secrets.token_hex(INCARNATION_BYTES)


def new_request_id() -> str:
    """Return an id for a request without a key."""
    return f"r-{secrets.token_hex(8)}"


def keyed_request_id(workspace: str, key: str) -> str:
    """Return the id that repeats of a request with one key share."""
    digest = hashlib.sha256(f"{workspace}\0{key}".encode()).hexdigest()
    return f"k-{digest[:24]}"


def rendezvous_hash(subject: str, names: Iterable[str]) -> str | None:
    """Return the name that highest-random-weight hashing gives a subject.

    Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
    IEEE/ACM Transactions on Networking 6(1), 1998.
    """

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{subject}\0{name}".encode(), digest_size=8).digest()

    return max(sorted(names), key=weight, default=None)


__all__ = ["keyed_request_id", "new_incarnation", "new_request_id", "rendezvous_hash"]
