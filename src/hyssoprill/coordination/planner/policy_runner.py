"""Runs the dispatch policy on the inputs of a round."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import unix_ms
from ...tasks import log_failure
from ..policy.dispatch.terms import DispatchTerms
from .placement_queries import draft_job, place_job
from .set_aside import find_breaking

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from ...protocol.placement_query import JobDraft, JobPlacement
    from ...state.job_table import StepKey
    from ..policy.dispatch.model import (
        Plan,
        RunningUnit,
        UpstreamView,
        WaitingStep,
    )
    from .policy_inputs import PolicyInputs

MAX_LOGGED_STEPS = 8


class PolicyRunner:
    """Decides on starts and stops of a round.

    Parameters
    ----------
    policy : callable
        The policy, like `plan_round`.

    Attributes
    ----------
    terms : DispatchTerms
        Decisions under hard load that are in force.
    reclaim_s : float
        Time within which a job covered by a guarantee must get its resources.
    """

    def __init__(self, policy: Callable[..., Plan]) -> None:
        self.terms = DispatchTerms()
        self.reclaim_s = 0.0
        self._policy = policy

    def run(self, inputs: PolicyInputs, waiting: list[WaitingStep]) -> Plan:
        """Run the policy, without the steps with which it fails."""
        try:
            return self._decide_from(inputs, waiting)
        except Exception as exc:  # noqa: BLE001 - see `find_breaking`
            keys = list(dict.fromkeys(step.key for step in waiting))

            def decide(some: Sequence[StepKey]) -> Plan:
                # The policy changes its inputs, so that each run needs new ones.
                steps = inputs.waiting_steps(unix_ms())
                chosen = [one for one in steps if one.key in some]
                return self._decide_from(inputs, chosen)

            breaking = find_breaking(keys, decide)
            if not breaking:
                raise
            names = [key.record_key for key in breaking[:MAX_LOGGED_STEPS]]
            log_failure(f"round of steps {names}", exc)
            return decide([key for key in keys if key not in breaking])

    def place(self, draft: JobDraft, inputs: PolicyInputs, term: int) -> JobPlacement:
        """Return where a job would go; `inputs` are used for nothing else.

        Raises
        ------
        InvalidRequestError
            Where the config knows no such workspace or queue.
        """
        now_ms = unix_ms()
        job = draft_job(draft, inputs.operator_config, now_ms)
        return place_job(job, inputs, self._decide, now_ms, term)

    def _decide_from(self, inputs: PolicyInputs, waiting: list[WaitingStep]) -> Plan:
        views, units = inputs.upstream_views(), inputs.running_units()
        return self._decide(waiting, views, units)

    def _decide(
        self,
        waiting: list[WaitingStep],
        views: list[UpstreamView],
        units: Iterable[RunningUnit],
    ) -> Plan:
        return self._policy(
            waiting, views, units, reclaim_s=self.reclaim_s, terms=self.terms
        )


__all__ = ["PolicyRunner"]
