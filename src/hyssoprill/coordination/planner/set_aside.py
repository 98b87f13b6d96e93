"""Sets aside single inputs that break a round of the planner, so that others go on."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, TypeVar

from ...errors import StoreError
from ...tasks import log_failure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

Input = TypeVar("Input")


@contextmanager
def set_aside(kind: str, name: str) -> Iterator[None]:
    """Log an unexpected exception that an input raises, and go on without it."""
    try:
        yield
    except StoreError:
        raise
    except Exception as exc:  # noqa: BLE001 - the other inputs are still served
        log_failure(f"round of {kind} {name}", exc)


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
