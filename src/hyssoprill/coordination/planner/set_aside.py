"""Sets aside single inputs that break a round of the planner, so that others go on."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from ...errors import StoreError
from ...tasks import log_failure

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

Input = TypeVar("Input")


class set_aside:  # noqa: N801 - used like a function
    """Log an unexpected exception that an input raises, and go on without it.

    A class, as rounds enter it for each job and upstream: a generator costs twice that.
    """

    __slots__ = ("_kind", "_name")

    def __init__(self, kind: str, name: str) -> None:
        self._kind = kind
        self._name = name

    def __enter__(self) -> None:
        pass

    def __exit__(self, _type: object, exc: BaseException | None, _tb: object) -> bool:
        if not isinstance(exc, Exception) or isinstance(exc, StoreError):
            return False
        log_failure(f"round of {self._kind} {self._name}", exc)
        return True


def find_breaking(
    inputs: Sequence[Input], work: Callable[[Sequence[Input]], object]
) -> list[Input]:
    """Return the inputs with which the work fails, also without the others."""
    if not inputs:
        return []
    try:
        work(inputs)
    except Exception:  # noqa: BLE001 - what fails is returned
        if len(inputs) == 1:
            return list(inputs)
        middle = len(inputs) // 2
        return find_breaking(inputs[:middle], work) + find_breaking(
            inputs[middle:], work
        )
    return []


__all__ = ["find_breaking", "set_aside"]
