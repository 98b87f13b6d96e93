"""Outcomes of requests, as returned to callers."""

from __future__ import annotations

from typing import Any, Literal

from msgspec import Struct

Status = Literal["done", "failed", "not_run", "cancelled", "unknown"]


class Outcome(Struct, frozen=True):
    """Outcome of a request.

    Attributes
    ----------
    status : str
        `done` and `failed` ran; `not_run` is proven not to have run; `cancelled` was
        stopped on request; `unknown` may have run.
    code : str
        Stable identifier of the reason.
    remedy : str
        What the caller can do next.
    retry_after_s : float
        Seconds after which a retry makes sense; 0 if there is no need to wait.
    answer : object
        The worker's answer, for `done`.
    """

    status: Status
    code: str
    remedy: str = ""
    retry_after_s: float = 0.0
    answer: Any = None


def not_run(code: str, remedy: str, *, retry_after_s: float = 0.0) -> Outcome:
    """Build the outcome of a request that was proven not to have run."""
    return Outcome("not_run", code, remedy, retry_after_s)


def unknown(code: str, remedy: str) -> Outcome:
    """Build the outcome of a request that may or may not have run."""
    return Outcome("unknown", code, remedy)


__all__ = ["Outcome", "Status", "not_run", "unknown"]
