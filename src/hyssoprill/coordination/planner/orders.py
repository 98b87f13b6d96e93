"""What each VM was last told to run, and what it has to be told."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...protocol.upstream_messages import RunOrder, UpstreamOrders, VmOrders

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...protocol.message import Message
    from ...state.job_table import JobTable
    from .fleet import Fleet
    from .runs import StopNotes

    Send = Callable[[str, Message], None]


class OrderBook:
    """Sends whole orders to a VM where they differ from the last ones.

    Parameters
    ----------
    send : callable
        Sends a message to the agent of a VM.
    """

    def __init__(
        self, ledger: JobTable, fleet: Fleet, stopping: StopNotes, send: Send
    ) -> None:
        self._ledger = ledger
        self._fleet = fleet
        self._stopping = stopping
        self._send = send
        self._sent: dict[str, tuple[tuple[int, int], list[UpstreamOrders]]] = {}
        self._acked: dict[str, int] = {}
        self._number = 0

    def clear(self) -> None:
        """Forget what was sent, at the start of a term."""
        self._sent.clear()
        self._acked.clear()
        self._number = 0

    def acknowledge(self, acked: dict[str, int]) -> None:
        """Note up to which number the ends of upstreams are stored."""
        self._acked.update(acked)

    def publish(self, term: int) -> None:
        """Send the orders of each VM where they have changed."""
        for name, vm in self._fleet.vms.items():
            orders = [self._orders(key) for key in vm.upstreams]
            sent = self._sent.get(name)
            if sent is None or sent[1] != orders:
                self._send_to(name, term, orders)

    def repeat(self, name: str, applied: tuple[int, int]) -> None:
        """Send a VM its orders again where it has applied older ones."""
        sent = self._sent.get(name)
        if sent is not None and applied < sent[0]:
            self._send_to(name, sent[0][0], sent[1])

    def _send_to(self, name: str, term: int, orders: list[UpstreamOrders]) -> None:
        self._number += 1
        self._sent[name] = ((term, self._number), orders)
        echo_s = self._fleet.vms[name].tick_s
        self._send(name, VmOrders(term, self._number, echo_s, orders))

    def _orders(self, key: str) -> UpstreamOrders:
        runs, stopping = [], []
        for task, run in self._ledger.open_runs.get(key, {}).items():
            if (task, run.run) in self._stopping:
                stopping.append((task, run.run))
                continue
            entry = self._ledger.jobs[run.step.job_id]
            state = entry.step_state(run.step.occurrence, run.step.step)
            saved = state.tasks[run.index].checkpoint
            runs.append(RunOrder(task, run.run, entry.job.payload, saved))
        return UpstreamOrders(key, runs, stopping, self._acked.get(key, 0))


__all__ = ["OrderBook", "Send"]
