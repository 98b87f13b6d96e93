"""The operator's view: queues, workspaces with keys and guarantees, closed zones."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of jobs, found by host and path.

    Attributes
    ----------
    is_served : bool
        Whether its jobs can be run here at all.
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
    """A workspace's keys and the accelerators that belong to it at all times."""

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
    guarded_groups : frozenset of str
        Groups whose upstreams refuse what does not fit.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    workspaces: tuple[WorkspaceConfig, ...] = ()
    zones_out: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of the longest prefix that a path begins with."""
        found = [
            queue
            for queue in self.queues
            if queue.host == host and path.startswith(queue.path_prefix)
        ]
        return max(found, key=lambda one: len(one.path_prefix), default=None)

    def workspace_for_key(self, key: str) -> str | None:
        """Return the workspace that a key belongs to."""
        for workspace in self.workspaces:
            if key in workspace.keys:
                return workspace.name
        return None

    def guaranteed_accelerators(self, workspace: str) -> int:
        """Return the accelerators that belong to a workspace."""
        for one in self.workspaces:
            if one.name == workspace:
                return one.guaranteed_accelerators
        return 0


__all__ = ["OperatorConfig", "Queue", "WorkspaceConfig"]
