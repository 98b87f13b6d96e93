"""Keeps the agent's session with its worker, and the leases of the worker's tasks."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from ...errors import WorkerError, WorkerRefusedError
from ...protocol.messages import StartOrder
from ...protocol.shape import Resources
from ...state.lease_table import HeldLease

if TYPE_CHECKING:
    from ...state.lease_table import LeaseTable, MemberKey
    from ...transport.metrics import Metrics
    from ...transport.worker import Worker, WorkerTask

SESSION_TTL_S = 1.0
RENEW_INTERVAL_S = 0.3
TASK_LEASE_S = 5.0
WORKER_SILENCE_S = 1.0
MIN_PROOF_UPTIME_S = 20.0


class WorkerSession:
    """Keeps the session with the worker open and renews the leases of its tasks.

    A start needs a session that was renewed within `SESSION_TTL_S`: the worker refuses
    the calls of an agent that was paused for longer.

    Parameters
    ----------
    worker : Worker
        Calls the worker.
    table : LeaseTable
        Leases of the tasks; its capacity is set from the worker's answer.
    holder : str
        Incarnation of the agent, as the holder of the session.

    Attributes
    ----------
    fencing_token : int
        Token of the open session; 0 if no session is open.
    changed : asyncio.Event
        Set when the worker starts or stops accepting tasks.
    adopted : asyncio.Queue of HeldLease
        Leases of running tasks that an earlier agent process started.
    """

    def __init__(
        self, worker: Worker, table: LeaseTable, holder: str, metrics: Metrics
    ) -> None:
        self._worker = worker
        self._table = table
        self._holder = holder
        self._metrics = metrics
        self._renewed_s = float("-inf")
        self._worker_accepting = False
        self._worker_started_s = float("inf")
        self.fencing_token = 0
        self.changed = asyncio.Event()
        self.adopted: asyncio.Queue[HeldLease] = asyncio.Queue()

    @property
    def is_accepting(self) -> bool:
        """Whether the worker's last answer was recent and said it accepts tasks."""
        return self._worker_accepting and self.silence_s < WORKER_SILENCE_S

    @property
    def silence_s(self) -> float:
        """Seconds since the worker last answered a renewal."""
        return time.monotonic() - self._renewed_s

    async def run(self) -> None:
        """Open the session and renew it forever; open a new one when it is lost."""
        while True:
            try:
                await self._renew() if self.fencing_token else await self._open()
            except WorkerRefusedError:
                self.fencing_token = 0
                self._metrics.count("worker_sessions_lost")
                continue
            except WorkerError:
                self._metrics.count("worker_silences")
                self._set_accepting(self._worker_accepting)
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def start(self, lease: HeldLease) -> None:
        """Start the task of a lease; raises the errors of `Worker.start`."""
        order = lease.order
        await self._worker.start(
            self.fencing_token,
            task_id(lease),
            lease_s=TASK_LEASE_S,
            meta=_to_meta(lease),
            work=order.work,
        )

    async def stop(self, lease: HeldLease, grace_s: float) -> WorkerTask:
        """Checkpoint and stop the task of a lease."""
        return await self._worker.stop(
            self.fencing_token, task_id(lease), grace_s=grace_s
        )

    async def result(self, lease: HeldLease, *, wait_s: float) -> WorkerTask:
        """Wait up to `wait_s` for the task of a lease to end; return its report."""
        return await self._worker.result(task_id(lease), wait_s=wait_s)

    async def proves_never_started(self, key: MemberKey) -> bool:
        """Tell whether the worker's answer proves that a member never started here.

        That is the case if the worker does not know the task, has been up for longer
        than any order can have been in transit, and accepts starts from this agent
        only.
        """
        uptime_s = time.monotonic() - self._worker_started_s
        if not self.fencing_token or uptime_s < MIN_PROOF_UPTIME_S:
            return False
        try:
            report = await self._worker.result(f"{key[0]}.{key[1]}", wait_s=0.0)
        except WorkerError:
            return False
        return report.state == "unknown"

    async def _open(self) -> None:
        """Open a session, adopt running tasks and renew their leases."""
        sent_s = time.monotonic()
        session = await self._worker.open_session(self._holder, ttl_s=SESSION_TTL_S)
        self.fencing_token = session.fence
        self._worker_started_s = sent_s - session.uptime_s
        self._table.capacity = Resources(
            session.slots, session.accelerators, session.cores, session.memory_gb
        )
        for task in session.tasks:
            if task.state == "running":
                self._adopt(task)
        await self._renew()
        self._renewed_s = sent_s
        logger.info("worker session {} opened", self.fencing_token)

    def _adopt(self, task: WorkerTask) -> None:
        """Take over a task that an earlier process of this agent started."""
        lease = _from_meta(task.meta)
        if lease is None or lease.key in self._table.leases:
            return
        lease.granted_s = time.monotonic()
        self._table.adopt(lease)
        self._table.set_phase(lease, "running")
        self.adopted.put_nowait(lease)

    async def _renew(self) -> None:
        """Renew the session and the leases of all tasks that may be on the worker."""
        sent_s = time.monotonic()
        tasks = [
            task_id(lease)
            for lease in self._table.leases.values()
            if lease.phase != "held"
        ]
        renewal = await self._worker.renew(
            self.fencing_token, tasks, lease_s=TASK_LEASE_S
        )
        self._renewed_s = sent_s
        self._set_accepting(renewal.accepting)

    def _set_accepting(self, accepting: bool) -> None:
        if accepting != self._worker_accepting:
            self._worker_accepting = accepting
            logger.info("worker accepts new tasks: {}", accepting)
            self.changed.set()


def task_id(lease: HeldLease) -> str:
    """Return the worker's id for the task of a lease."""
    return f"{lease.order.attempt}.{lease.order.index}"


def _to_meta(lease: HeldLease) -> object:
    """Return the metadata from which a restarted agent can adopt the task."""
    order = msgspec.structs.replace(lease.order, work=b"")
    spec = order.spec
    return {
        "order": msgspec.to_builtins(order),
        "owner": lease.owner,
        "job": spec.id,
        "attempt": order.attempt,
        "index": order.index,
        "size": order.size,
        "accelerators": spec.shape.accelerators,
        "workspace": spec.workspace,
    }


def _from_meta(meta: object) -> HeldLease | None:
    """Return the lease described by a task's metadata, or None if it is malformed."""
    try:
        order = msgspec.convert(meta["order"], StartOrder)
        return HeldLease(order, 0.0, str(meta["owner"]))
    except (msgspec.ValidationError, KeyError, TypeError):
        return None


__all__ = ["TASK_LEASE_S", "WorkerSession", "task_id"]
