"""Requests and long jobs as callers send them, and their validation."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from ..errors import InvalidRequestError
from .shape import Shape

Identifier = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.:-]{0,95}$")]


class RequestBody(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request or of a long job over HTTP.

    Attributes
    ----------
    workspace : str
        Must be the workspace that the caller's token belongs to.
    key : str
        Idempotency key; required if `idempotent` is false.
    idempotent : bool
        Whether the work may run more than once.
    declared_s : float
        Run time in seconds that the caller expects.
    deadline_s : float
        Seconds from now after which the work need not start any more; 0 for no
        deadline.
    """

    workspace: str
    work: Any = None
    shape: Shape = Shape()
    key: Identifier | None = None
    kind: Identifier = "default"
    idempotent: bool = True
    urgent: bool = False
    priority: Annotated[int, Meta(ge=0, le=9)] = 5
    declared_s: Annotated[float, Meta(gt=0, le=2_592_000)] = 1.0
    deadline_s: Annotated[float, Meta(ge=0)] = 0.0


class JobSpec(Struct, frozen=True):
    """An accepted request or long job without its payload.

    Attributes
    ----------
    detached : bool
        Whether it is a long job, which runs on without its caller.
    """

    id: str
    workspace: str
    shape: Shape
    kind: str = "default"
    idempotent: bool = True
    urgent: bool = False
    priority: int = 5
    declared_s: float = 1.0
    deadline_s: float = 0.0
    detached: bool = False


def parse_request(raw: bytes) -> RequestBody:
    """Parse and validate the body of a request.

    Raises
    ------
    InvalidRequestError
        If it is not JSON, if a field is unknown, missing or of a wrong type, or if a
        request that is not idempotent has no key.
    """
    try:
        body = msgspec.json.decode(raw, type=RequestBody)
    except msgspec.ValidationError as exc:
        text, _, path = str(exc).partition(" - at `$")
        raise InvalidRequestError(
            text,
            field=path.strip("`.") or "(top level)",
            remedy="correct the field; see docs/reference/http.md",
        ) from exc
    except msgspec.DecodeError as exc:
        raise InvalidRequestError(
            f"the body is not JSON: {exc}",
            code="not_json",
            field="(body)",
            remedy="send one JSON object",
        ) from exc
    if not body.idempotent and body.key is None:
        raise InvalidRequestError(
            "a request that is not idempotent needs an idempotency key",
            field="key",
            remedy="send a key, and the same one with each retry",
        )
    return body


__all__ = ["JobSpec", "RequestBody", "parse_request"]
