"""Tests of ending background tasks."""

from __future__ import annotations

import asyncio

from hyssoprill import tasks as tasks_module
from hyssoprill.tasks import TaskSet, cancel_all, run_supervised


def test_task_ends_when_it_swallows_a_cancellation() -> None:
    """Guards against an entry hanging at shutdown as a task lost a cancellation."""

    async def stubborn() -> None:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            await asyncio.sleep(60)

    async def run() -> bool:
        task = asyncio.ensure_future(stubborn())
        await asyncio.sleep(0)
        await cancel_all([task])
        return task.done()

    assert asyncio.run(run())


class Loop:
    """Ends with an exception so many times, then runs on."""

    def __init__(self, failures: int) -> None:
        self.failures = failures
        self.starts = 0

    async def run(self) -> None:
        self.starts += 1
        if self.starts <= self.failures:
            raise RuntimeError("unexpected")
        await asyncio.Event().wait()


def run_supervised_for(duration_s: float, loop: Loop, on_failure=None) -> None:
    async def main() -> None:
        tasks = TaskSet()
        tasks.supervise("loop", loop.run, on_failure)
        await asyncio.sleep(duration_s)
        await tasks.close()

    asyncio.run(main())


def test_loop_that_ends_by_an_exception_is_logged_and_run_again(monkeypatch) -> None:
    """The loop ended, and its process went on without it."""
    logged: list[tuple[str, dict]] = []
    monkeypatch.setattr(
        tasks_module, "decision", lambda event, **fields: logged.append((event, fields))
    )
    loop = Loop(failures=2)
    run_supervised_for(0.5, loop)
    assert loop.starts == 3
    assert [event for event, _fields in logged] == ["task_failed"] * 2
    fields = logged[0][1]
    assert (fields["task"], fields["why"]) == ("loop", "RuntimeError('unexpected')")
    assert "test_tasks.py" in fields["at"]


def test_pause_of_a_loop_that_always_fails_grows() -> None:
    loop = Loop(failures=1000)
    run_supervised_for(1.0, loop)
    assert 3 <= loop.starts <= 4


def test_action_after_a_failure_may_fail_as_well() -> None:
    calls = []

    async def on_failure() -> None:
        calls.append(1)
        raise RuntimeError("unexpected")

    loop = Loop(failures=1)
    run_supervised_for(0.3, loop, on_failure)
    assert (loop.starts, len(calls)) == (2, 1)


def test_loop_that_returns_is_not_run_again() -> None:
    starts = []

    async def once() -> None:
        starts.append(1)

    async def main() -> None:
        await asyncio.wait_for(run_supervised("once", once), 1.0)

    asyncio.run(main())
    assert starts == [1]


def test_task_that_ends_by_an_exception_is_logged(monkeypatch) -> None:
    logged: list[str] = []
    monkeypatch.setattr(
        tasks_module, "decision", lambda _event, **fields: logged.append(fields["why"])
    )

    async def fail() -> None:
        raise RuntimeError("unexpected")

    async def main() -> None:
        tasks = TaskSet()
        tasks.spawn(fail())
        await asyncio.sleep(0.05)
        assert not list(tasks)

    asyncio.run(main())
    assert logged == ["RuntimeError('unexpected')"]
