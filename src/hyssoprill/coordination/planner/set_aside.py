"""Sets aside single inputs that break a round of the planner, so that others go on."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from ...errors import StoreError
from ...tasks import log_failure

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

Input = TypeVar("Input")
Result = TypeVar("Result")


def set_aside(
    kind: str, inputs: Iterable[tuple[str, Input]], work: Callable[[Input], Result]
) -> list[Result]:
    """Return the results of the work on each named input, without those that break it.

    Their exceptions are logged. A loop in place of a context manager, as rounds go
    through all jobs and upstreams.
    """
    results = []
    for name, one in inputs:
        try:
            results.append(work(one))
        except StoreError:
            raise
        except Exception as exc:  # noqa: BLE001 - the other inputs are still served
            log_failure(f"round of {kind} {name}", exc)
    return results


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
