"""Tells which decisions under hard load a deployment calls for.

Each is switched by the settings: `on`, `off` or `auto`. With `auto` it is in force
where the figures of the deployment and the operator's config call for it, so that a
deployment whose figures do not is decided as if the part did not exist.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from statistics import mean
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ....job_settings import SchedulingSettings
    from ....state.operator_config import OperatorConfig

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class DispatchTerms:
    """Decisions under hard load that are in force, with the figures they read.

    Attributes
    ----------
    caller_costs : bool
        Steps wait, and runs are stopped, in the order of what it costs their callers.
    fair_shares : bool
        Beyond its guarantee a workspace that holds less of its share comes first.
    upstream_speeds : bool
        Every placement and expected run time counts the speed of the upstreams.
    upstream_lifetimes : bool
        Costly work goes where and when upstreams are expected to last.
    run_time_tails : bool
        A run beyond its estimate is expected to go on as others of its queue did.
    stop_s, restore_s : float
        Time that a stop takes, and that a run takes to resume from a checkpoint.
    checkpoint_interval_s : float
        Work between two checkpoints of a run.
    """

    caller_costs: bool = False
    fair_shares: bool = False
    upstream_speeds: bool = False
    upstream_lifetimes: bool = False
    run_time_tails: bool = False
    stop_s: float = 0.4
    restore_s: float = 0.25
    checkpoint_interval_s: float = 2.0

    @classmethod
    def part_names(cls) -> tuple[str, ...]:
        """Return the names of all parts."""
        return tuple(one.name for one in fields(cls) if one.default is False)

    @property
    def parts(self) -> tuple[str, ...]:
        """Names of the parts that are in force."""
        return tuple(name for name in self.part_names() if getattr(self, name))


def find_terms(cfg: SchedulingSettings, config: OperatorConfig) -> DispatchTerms:
    """Return the terms that the settings and the operator's config call for.

    With `auto`, fair shares are in force where the guarantees of workspaces are uneven:
    one of them can then fill most of the pool beyond its guarantee. The other parts are
    in force where work can be moved between several availability zones, stops are short
    enough for that, and a lost upstream keeps its tasks from running elsewhere for the
    time of a long lease.
    """
    is_spread = (
        len(cfg.availability_zones) >= cfg.min_zones
        and cfg.max_lease_ms >= cfg.min_lease_ms
        and cfg.stop_ms <= cfg.max_stop_ms
    )
    automatic = {"fair_shares": _guarantee_skew(config) >= cfg.min_skew}
    states = {
        name: switch == "on" or (switch == "auto" and automatic.get(name, is_spread))
        for name, switch in cfg.switches.items()
    }
    return DispatchTerms(
        **states,
        stop_s=cfg.stop_ms / MS_PER_S,
        restore_s=cfg.restore_ms / MS_PER_S,
        checkpoint_interval_s=cfg.checkpoint_interval_s,
    )


def no_terms(_config: OperatorConfig) -> DispatchTerms:
    """Return terms of which no part is in force, whatever the config."""
    return DispatchTerms()


def _guarantee_skew(config: OperatorConfig) -> float:
    """Return the largest guarantee as a multiple of the mean; 0 without guarantees."""
    guaranteed = [one.guaranteed_accelerators for one in config.workspaces]
    average = mean(guaranteed) if guaranteed else 0
    return max(guaranteed) / average if average else 0.0


__all__ = ["DispatchTerms", "find_terms", "no_terms"]
