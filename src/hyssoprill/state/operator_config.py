"""The operator's configuration: queues, workspaces and zones taken out of service."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs, selected by the host and path of a call.

    Attributes
    ----------
    group : str
        Group of upstreams that runs the queue's jobs.
    public : bool
        Whether calls without a workspace's key are accepted.
    is_served : bool
        Whether this system can run the queue's jobs at all.
    """

    name: str
    host: str
    path_prefix: str
    group: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int
    public: bool
    is_served: bool = True


@dataclass(frozen=True, slots=True)
class WorkspaceConfig:
    """A workspace with its API keys and its guaranteed number of accelerators."""

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """One version of the operator's config, and the zones to be emptied.

    Attributes
    ----------
    version : int
        0 while no config is known.
    zones_out : frozenset of str
        Availability zones that are taken out of service.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    workspaces: tuple[WorkspaceConfig, ...] = ()
    zones_out: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of the host with the longest matching path prefix."""
        found = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(found, key=lambda one: len(one.path_prefix), default=None)

    def workspace_for_key(self, key: str) -> str | None:
        """Return the workspace that an API key belongs to, or None."""
        for workspace in self.workspaces:
            if key in workspace.keys:
                return workspace.name
        return None

    def guaranteed_accelerators(self, workspace: str) -> int:
        """Return how many accelerators are guaranteed to a workspace."""
        for one in self.workspaces:
            if one.name == workspace:
                return one.guaranteed_accelerators
        return 0


__all__ = ["OperatorConfig", "Queue", "WorkspaceConfig"]
