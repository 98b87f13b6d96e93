"""Client for the platform's worker on the agent's VM."""

from __future__ import annotations

import hashlib
from typing import Any, Literal, TypeVar

import msgspec
from msgspec import Struct

from ..errors import WorkerError, WorkerRefusedError
from .http_client import JsonClient

CALL_TIMEOUT_S = 1.0
RESULT_WAIT_S = 5.0

Answer = TypeVar("Answer", bound=Struct)
TaskState = Literal["running", "done", "failed", "stopped", "lapsed", "unknown"]


class WorkerTask(Struct, frozen=True):
    """A task as the worker reports it.

    Attributes
    ----------
    meta : object
        Metadata passed at the start, returned so that a restarted agent can
        recover it.
    progress_s : float
        Seconds of work saved in the last checkpoint.
    """

    id: str
    state: TaskState
    meta: Any = None
    progress_s: float = 0.0
    usage: float = 0.0
    body: str | None = None
    sha256: str = ""


class Session(Struct, frozen=True):
    """Right to start tasks, which expires unless it is renewed in time."""

    fence: int
    slots: int
    accelerators: int
    cores: int
    memory_gb: int
    uptime_s: float
    tasks: list[WorkerTask]


class Renewal(Struct, frozen=True):
    """Result of renewing the session and task leases."""

    accepting: bool
    tasks: list[WorkerTask]


class Worker:
    """HTTP client for one worker."""

    def __init__(self, url: str) -> None:
        self._client = JsonClient(url)

    async def open_session(self, holder: str, *, ttl_s: float) -> Session:
        """Open a session; this ends the session of any earlier holder."""
        body = {"holder": holder, "ttl_s": ttl_s}
        return _convert(await self._call("/v1/session", body), Session)

    async def renew(self, fence: int, tasks: list[str], *, lease_s: float) -> Renewal:
        """Renew the session and the leases of tasks."""
        body = {"fence": fence, "tasks": tasks, "lease_s": lease_s}
        return _convert(await self._call("/v1/renew", body), Renewal)

    async def start(
        self, fence: int, task: str, *, lease_s: float, meta: Any, work: bytes
    ) -> None:
        """Start a task.

        Raises
        ------
        WorkerRefusedError
            If the worker reports that it did not start the task.
        WorkerError
            If it is unknown whether the task was started.
        """
        body = {
            "fence": fence,
            "id": task,
            "lease_s": lease_s,
            "meta": meta,
            "work": msgspec.Raw(work),
        }
        await self._call("/v1/tasks", body)

    async def stop(self, fence: int, task: str, *, grace_s: float) -> WorkerTask:
        """Checkpoint and stop a task; kill it after the grace period."""
        body = {"fence": fence, "grace_s": grace_s}
        answer = await self._call(
            f"/v1/tasks/{task}/stop", body, timeout_s=grace_s + CALL_TIMEOUT_S
        )
        return _convert(answer, WorkerTask)

    async def result(self, task: str, *, wait_s: float = RESULT_WAIT_S) -> WorkerTask:
        """Wait up to `wait_s` for the end of a task and return its report.

        Raises
        ------
        WorkerError
            If the response is truncated or belongs to another task.
        """
        answer = await self._call(
            f"/v1/tasks/{task}?wait_s={wait_s}",
            None,
            method="GET",
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )
        report = _convert(answer, WorkerTask)
        _verify_result(report, task)
        return report

    def close(self) -> None:
        """Close the client."""
        self._client.close()

    async def _call(
        self,
        path: str,
        body: Any,
        *,
        method: str = "POST",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Any:
        try:
            status, answer = await self._client.call(
                method, path, body, timeout_s=timeout_s
            )
        except OSError as exc:
            raise WorkerError(
                f"the worker does not respond: {exc}", remedy="check the worker"
            ) from exc
        if status == 409:
            raise WorkerRefusedError(
                f"the worker refused the request: {answer}", remedy="open a new session"
            )
        if status != 200:
            raise WorkerError(
                f"the worker responded with status {status}", remedy="check the worker"
            )
        return answer


def _convert(answer: Any, kind: type[Answer]) -> Answer:
    """Convert a response to a type; raise `WorkerError` if it is malformed."""
    try:
        return msgspec.convert(answer, kind)
    except msgspec.ValidationError as exc:
        raise WorkerError(
            f"the worker's response is malformed: {exc}", remedy="check the worker"
        ) from exc


def _verify_result(report: WorkerTask, task: str) -> None:
    """Raise unless a result is complete and belongs to the task."""
    if report.id != task:
        raise WorkerError(
            f"response belongs to task {report.id!r}, not {task!r}",
            code="crossed_answer",
            remedy="retry the request",
        )
    if report.body is None:
        return
    if hashlib.sha256(report.body.encode()).hexdigest() != report.sha256:
        raise WorkerError(
            f"result of task {task!r} does not match its SHA-256 digest",
            code="cut_answer",
            remedy="retry the request",
        )


__all__ = ["Renewal", "Session", "Worker", "WorkerTask"]
