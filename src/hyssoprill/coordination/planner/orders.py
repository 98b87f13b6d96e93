"""Sends each VM the orders that follow from the job table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import boottime_s, unix_ms
from ...protocol.upstream_messages import (
    DEFAULT_VALIDITY_S,
    RunOrder,
    UpstreamOrders,
    VmOrders,
)
from .renewals import StartRenewals

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable, Mapping

    from ...protocol.message import Message
    from ...state.job_table import JobTable
    from .fleet import Fleet
    from .runs import StopRequests
    from .upstream_runs import UpstreamRunsCache

    Send = Callable[[str, Message], None]
    UpstreamVersions = tuple[str, int, int, int, bool]


class OrderPublisher:
    """Sends a VM its complete orders when they differ from those it was sent last.

    Parameters
    ----------
    send : callable
        Sends a message to the agent of a VM.

    Attributes
    ----------
    validity_s : float
        Starts may be called for this long after they were decided.
    renewals : StartRenewals
        Tells when the starts were decided.
    """

    def __init__(
        self,
        job_table: JobTable,
        fleet: Fleet,
        stopping: StopRequests,
        upstream_runs: UpstreamRunsCache,
        send: Send,
    ) -> None:
        self._job_table = job_table
        self._fleet = fleet
        self._stopping = stopping
        self._send = send
        self._sent: dict[str, tuple[tuple[int, int], list[UpstreamOrders]]] = {}
        self._sent_versions: dict[str, tuple[float, list[UpstreamVersions]]] = {}
        self._stored_upto: dict[str, int] = {}
        self._must_lapse: set[str] = set()
        self._last_number = 0
        self.validity_s = DEFAULT_VALIDITY_S
        self.renewals = StartRenewals(job_table, fleet, stopping, upstream_runs)

    def clear(self) -> None:
        """Drop what was sent, at the start of a term."""
        self._sent.clear()
        self._sent_versions.clear()
        self._stored_upto.clear()
        self._must_lapse.clear()
        self.renewals.clear()
        self._last_number = 0

    def acknowledge(
        self, stored_upto: Mapping[str, int], withheld: Mapping[str, int]
    ) -> None:
        """Set the number up to which each upstream's ended runs are stored.

        Parameters
        ----------
        withheld : Mapping
            First end that is acknowledged only once the upstream's lease has lapsed.
        """
        for key, number in stored_upto.items():
            self._stored_upto[key] = max(number, self._stored_upto.get(key, 0))
        self._must_lapse = {
            key
            for key, number in withheld.items()
            if number > self._stored_upto.get(key, 0)
        }

    def publish(self, term: int, names: Collection[str] | None = None) -> None:
        """Send each VM, or those named, its orders if they have changed."""
        for name, vm in self._fleet.vms.items():
            if names is not None and name not in names:
                continue
            versions = self._versions(name, vm.upstreams)
            if self._sent_versions.get(name) == versions:
                continue
            orders = [self._orders(key) for key in vm.upstreams]
            sent = self._sent.get(name)
            is_sent = sent is not None and sent[1] == orders
            if is_sent or self._send_to(name, term, orders):
                self._sent_versions[name] = versions

    def _versions(
        self, name: str, upstreams: Iterable[str]
    ) -> tuple[float, list[UpstreamVersions]]:
        """Return the versions of all that the orders of a VM are made of."""
        runs, stops = self._job_table.open_runs_versions, self._stopping.versions
        return self.renewals.renewed_s(name), [
            (
                key,
                runs.get(key, 0),
                stops.get(key, 0),
                self._stored_upto.get(key, 0),
                key in self._must_lapse,
            )
            for key in upstreams
        ]

    def resend_if_outdated(self, name: str, applied: tuple[int, int]) -> None:
        """Send a VM its last orders again if it has applied older ones.

        Parameters
        ----------
        applied : tuple of int
            Term and number of the orders that the VM has applied.
        """
        sent = self._sent.get(name)
        if sent is not None and applied < sent[0]:
            self._send_to(name, sent[0][0], sent[1])

    def _send_to(self, name: str, term: int, orders: list[UpstreamOrders]) -> bool:
        """Send orders, which extend leases as far as the newest grant does.

        Returns whether there is such a grant.
        """
        vm = self._fleet.vms[name]
        echo_s = vm.granted_clock_s
        if echo_s is None:
            return False
        self._last_number += 1
        self._sent[name] = ((term, self._last_number), orders)
        # Read first: a freeze in between must not make the orders younger.
        echo_age_s = boottime_s() - vm.granted_contact_s
        message = VmOrders(
            term,
            self._last_number,
            echo_s,
            orders,
            unix_ms(),
            self.validity_s,
            echo_age_s,
        )
        self._send(name, message)
        return True

    def _orders(self, key: str) -> UpstreamOrders:
        runs, stopping = [], []
        for task, run in self._job_table.open_runs.get(key, {}).items():
            if (task, run.run) in self._stopping:
                stopping.append((task, run.run))
                continue
            job_state = self._job_table.jobs[run.step.job_id]
            state = job_state.step_state(run.step.occurrence, run.step.step)
            stored = state.tasks[run.index]
            runs.append(
                RunOrder(
                    task,
                    run.run,
                    job_state.job.payload,
                    stored.checkpoint,
                    self.renewals.decided_ms((task, run.run), stored.started_ms),
                )
            )
        stored_upto, must_lapse = self._stored_upto.get(key, 0), key in self._must_lapse
        return UpstreamOrders(key, runs, stopping, stored_upto, must_lapse)


__all__ = ["OrderPublisher", "Send"]
