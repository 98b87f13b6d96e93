"""Lists how late each job was and what its time was spent on, from the log lines."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median
from typing import TYPE_CHECKING, Any

import click

from .output import show_rows
from .step_lines import expand_steps, warn_if_incomplete
from .trace import read_lines
from .waste import GANG_BROKEN, cause_of_end

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .trace import Line

WORK = "work"
ROOM = "room"
STORE = "store"
NO_PLANNER = "no planner"
SLOW = "slow upstream"
WRONG_RACK = "wrong rack"
NOT_FINISHED = "not finished"
NOT_LOGGED = "unknown: lines are missing"
COMPLETED = "completed"
SLOW_FACTOR = 2.0
"""A run counts as slowed from this multiple of the median of its step."""
MAX_UNSAVED_S = 2.0
"""Work since the last checkpoint that a run may lose; from PROTOCOL, `checkpoint_s`."""
REMOTE_FACTOR = 3.0
"""Away from its data a task takes this multiple; from PROTOCOL, "Jobs"."""

StepId = tuple[str, int, int]


@dataclass(slots=True)
class Run:
    """A run of a task, with times in milliseconds since 1970.

    Attributes
    ----------
    cause : str
        What ended it; '' if it was done.
    """

    planned_ms: int
    rack: str = ""
    ended_ms: int | None = None
    cause: str = ""

    @property
    def ran_s(self) -> float:
        """Seconds from the decision to start it to its end."""
        return ((self.ended_ms or self.planned_ms) - self.planned_ms) / 1000


@dataclass(slots=True)
class JobReport:
    """What became of a job.

    Attributes
    ----------
    wait_s : float or None
        Time from its acceptance to the first planned run.
    runs : int
        Runs that were planned.
    estimate_s, run_s : float
        Longest chain of its steps, by the estimates and by the runs that were done.
    objective_s : float or None
        Time within which it had to be done, from the actual run times.
    took_s : float or None
        Time from the call until its last task was done.
    spent_s : dict
        Seconds of the longest chain by what they were spent on.
    ending : str
        Outcome that the planner logged, where the lines of the runs do not show that
        the job was done; '' where they do, or without such a line.
    """

    job: str
    queue: str
    priority: int
    workspace: str
    wait_s: float | None = None
    runs: int = 0
    estimate_s: float = 0.0
    run_s: float = 0.0
    objective_s: float | None = None
    took_s: float | None = None
    spent_s: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    ending: str = ""

    @property
    def late_s(self) -> float | None:
        """Seconds beyond the objective; None if the job or the objective is open."""
        if self.took_s is None or self.objective_s is None:
            return None
        return max(self.took_s - self.objective_s, 0.0)

    @property
    def cause(self) -> str:
        """What a late job lost most time to; '' if it was in time."""
        if self.took_s is None:
            return self.ending or NOT_FINISHED
        if self.ending:
            return NOT_LOGGED if self.late_s else ""
        others = {name: s for name, s in self.spent_s.items() if name != WORK}
        if not self.late_s or not others:
            return ""
        return max(others, key=lambda name: others[name])


class _History:
    """The runs of all tasks and the terms of planners, read from log lines."""

    def __init__(self, lines: Iterable[Line]) -> None:
        self.accepted: dict[str, Line] = {}
        self.cancelled: set[str] = set()
        self.ended: dict[str, Line] = {}
        self.terms_ms: list[int] = []
        self.runs: dict[StepId, dict[int, dict[int, Run]]] = defaultdict(
            lambda: defaultdict(dict)
        )
        for line in sorted(expand_steps(lines), key=lambda one: one.at_ms):
            self._read(line)

    def _read(self, line: Line) -> None:
        fields = line.fields
        if line.event == "job_accepted" and "steps" in fields:
            self.accepted.setdefault(fields["job"], line)
        elif line.event == "job_cancelled":
            self.cancelled.add(fields["job"])
        elif line.event == "job_ended":
            self.ended.setdefault(fields["job"], line)
        elif line.event == "term_began":
            self.terms_ms.append(line.at_ms)
        elif line.event == "run_planned":
            step, index = _parse_task(fields["task"])
            run = Run(line.at_ms, str(fields.get("rack", "")))
            self.runs[step][index].setdefault(fields["run"], run)
        elif line.event == "run_ended":
            step, index = _parse_task(fields["task"])
            run = self.runs[step][index].get(fields["run"])
            if run is not None and run.ended_ms is None:
                run.ended_ms, run.cause = line.at_ms, cause_of_end(fields)

    def waiting_s(self, from_ms: int, to_ms: int) -> dict[str, float]:
        """Split a wait for a start by its causes."""
        terms = [at for at in self.terms_ms if from_ms < at < to_ms]
        begun_ms = max(terms, default=from_ms)
        return {
            NO_PLANNER: (begun_ms - from_ms) / 1000,
            ROOM: max(to_ms - begun_ms, 0) / 1000,
        }


def report_jobs(lines: Iterable[Line]) -> list[JobReport]:
    """Return a report of each accepted job that was not cancelled, by acceptance."""
    history = _History(lines)
    return [
        _report_job(history, line)
        for job, line in history.accepted.items()
        if job not in history.cancelled and not line.fields.get("times")
    ]


def _report_job(history: _History, accepted: Line) -> JobReport:
    fields = accepted.fields
    report = JobReport(
        fields["job"], fields["queue"], fields["priority"], fields["workspace"]
    )
    stored_s = float(fields.get("took_s", 0.0))
    steps = fields["steps"]
    ids = [(report.job, 0, number) for number in range(len(steps))]
    planned = [
        run.planned_ms
        for step in ids
        for runs in history.runs[step].values()
        for run in runs.values()
    ]
    report.runs = len(planned)
    if planned:
        report.wait_s = (min(planned) - accepted.at_ms) / 1000
    done_ms = [_done_ms(history.runs[step], steps[step[2]]) for step in ids]
    last = max(range(len(ids)), key=lambda number: done_ms[number] or 0)
    chain = _chain(steps, done_ms, last)
    report.estimate_s = sum(steps[number]["estimate_ms"] for number in chain) / 1000
    report.spent_s[STORE] = stored_s
    if None in done_ms:
        _add_ending(report, history.ended.get(report.job), stored_s)
        return report
    ready_ms = accepted.at_ms
    for number in chain:
        _spend(report, history, ids[number], steps[number], ready_ms)
        ready_ms = done_ms[number] or ready_ms
    report.run_s = report.spent_s[WORK]
    report.took_s = stored_s + (ready_ms - accepted.at_ms) / 1000
    if "stretch" in fields:
        target_s = fields["target_latency_ms"] / 1000
        report.objective_s = fields["stretch"] * report.run_s + target_s
    return report


def _add_ending(report: JobReport, ended: Line | None, stored_s: float) -> None:
    """Add what the line of a job's end tells, as lines of its runs are missing."""
    if ended is None:
        return
    report.ending = str(ended.fields["outcome"])
    if report.ending == COMPLETED:
        report.took_s = stored_s + float(ended.fields["took_s"])
        report.objective_s = float(ended.fields["objective_s"])


def _chain(
    steps: list[dict[str, Any]], done_ms: list[int | None], last: int
) -> list[int]:
    """Return the steps that the last one waited for, the latest of each, in order."""
    chain = [last]
    while steps[chain[0]].get("after"):
        chain.insert(
            0, max(steps[chain[0]]["after"], key=lambda number: done_ms[number] or 0)
        )
    return chain


def _done_ms(tasks: dict[int, dict[int, Run]], step: dict[str, Any]) -> int | None:
    """Return when a step was done: its last task, or any task of a gang."""
    ends = [
        run.ended_ms
        for runs in tasks.values()
        for run in runs.values()
        if run.ended_ms is not None and not run.cause
    ]
    if "gang" in step["flags"]:
        return min(ends, default=None)
    return max(ends) if len(ends) >= step["count"] else None


def _spend(
    report: JobReport,
    history: _History,
    step_id: StepId,
    step: dict[str, Any],
    ready_ms: int,
) -> None:
    """Add the time of a step's last task from when the step was ready."""
    tasks = history.runs[step_id]
    is_gang = "gang" in step["flags"]
    done = [
        (run.ended_ms or 0, index)
        for index, runs in tasks.items()
        for run in runs.values()
        if run.ended_ms is not None and not run.cause
    ]
    index = (min if is_gang else max)(done)[1]
    at_ms = ready_ms
    for number, run in sorted(tasks[index].items()):
        for name, seconds in history.waiting_s(at_ms, run.planned_ms).items():
            report.spent_s[name] += seconds
        at_ms = run.ended_ms or run.planned_ms
        if not run.cause:
            _spend_work(report, tasks, step, run)
            continue
        is_member = run.cause == GANG_BROKEN
        cause = _gang_cause(tasks, number) if is_member else run.cause
        lost_s = run.ran_s
        if "checkpoints" in step["flags"] and cause != "failed":
            lost_s = min(lost_s, MAX_UNSAVED_S)
        report.spent_s[cause] += lost_s
        report.spent_s[WORK] += run.ran_s - lost_s


def _spend_work(
    report: JobReport,
    tasks: dict[int, dict[int, Run]],
    step: dict[str, Any],
    run: Run,
) -> None:
    """Add a run that was done, with its excess over what such a run needs."""
    racks = {one.rack for runs in tasks.values() for one in list(runs.values())[-1:]}
    places = step.get("places") or ["", "", 0]
    is_remote = (places[1] and run.rack != places[1]) or (
        "rack_sensitive" in step["flags"] and len(racks) > 1
    )
    work_s, excess = run.ran_s, ""
    if is_remote:
        work_s, excess = run.ran_s / REMOTE_FACTOR, WRONG_RACK
    elif "gang" not in step["flags"]:
        usual_s = median(
            one.ran_s
            for runs in tasks.values()
            for one in runs.values()
            if one.ended_ms is not None and not one.cause
        )
        if run.ran_s > SLOW_FACTOR * usual_s:
            work_s, excess = usual_s, SLOW
    report.spent_s[WORK] += work_s
    if excess:
        report.spent_s[excess] += run.ran_s - work_s


def _gang_cause(tasks: dict[int, dict[int, Run]], number: int) -> str:
    """Return what ended the first run of a gang that did not end by another one."""
    ends = [
        (run.ended_ms or 0, run.cause)
        for runs in tasks.values()
        for key, run in runs.items()
        if key == number and run.cause not in ("", GANG_BROKEN)
    ]
    return min(ends, default=(0, GANG_BROKEN))[1]


def _parse_task(task: str) -> tuple[StepId, int]:
    job, occurrence, step, index = str(task).split(".")
    return (job, int(occurrence), int(step)), int(index)


def _row(report: JobReport) -> dict[str, Any]:
    def rounded(value: float | None) -> float | None:
        return None if value is None else round(value, 2)

    return {
        "job": report.job,
        "queue": report.queue,
        "priority": report.priority,
        "workspace": report.workspace,
        "wait_s": rounded(report.wait_s),
        "runs": report.runs,
        "estimate_s": rounded(report.estimate_s),
        "run_s": rounded(report.run_s),
        "objective_s": rounded(report.objective_s),
        "took_s": rounded(report.took_s),
        "late_s": rounded(report.late_s),
        "cause": report.cause,
        "spent": [
            f"{name}={seconds:.2f}"
            for name, seconds in sorted(report.spent_s.items(), key=lambda one: -one[1])
            if seconds >= 0.05
        ],
    }


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--all", "with_all", is_flag=True, help="Also list jobs in time.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def late(logs: tuple[Path, ...], with_all: bool, as_json: bool) -> None:
    """List the late jobs in LOGS, the standard output of all processes.

    The objective is computed from the run times of the runs that were done, so it is
    too long where those were slow. Cancelled and repeated jobs are left out.
    """
    lines = [line for path in logs for line in read_lines(path)]
    warn_if_incomplete(lines)
    reports = report_jobs(lines)
    rows = [_row(one) for one in reports if with_all or one.cause]
    show_rows(rows, list(rows[0]) if rows else ["job"], as_json)


__all__ = ["JobReport", "Run", "late", "report_jobs"]
