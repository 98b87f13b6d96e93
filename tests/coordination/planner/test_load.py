from __future__ import annotations

import pytest

from hyssoprill.clock import simulated_time
from hyssoprill.coordination.planner import load
from hyssoprill.coordination.planner.load import PlannerLoad


class Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(load, "decision", lambda event, **line: found.append(line))
    return found


def play_rounds(count: int, computing_s: float, pause_s: float) -> None:
    clock = Clock()
    with simulated_time(clock):
        measured = PlannerLoad()
        for _ in range(count):
            measured.count_message("report")
            with measured.computing("starts"):
                clock.now_s += computing_s
            clock.now_s += pause_s
            measured.record_pause(pause_s / 2, pause_s)
            measured.record_round(computing_s + pause_s)


def test_window_is_logged_when_rounds_take_much_of_it(lines):
    play_rounds(10, computing_s=0.3, pause_s=0.2)
    assert len(lines) == 5
    assert lines[0]["rounds"] == 2
    assert lines[0]["parts_s"] == {"starts": 0.6}
    assert lines[0]["messages"] == {"report": 2}
    assert lines[0]["longest_round_s"] == 0.5
    assert lines[0]["loop_late_s"] == 0.1


def test_quiet_windows_are_logged_at_an_interval(lines):
    play_rounds(120, computing_s=0.01, pause_s=0.24)
    assert len(lines) == 3


def test_window_begins_anew_when_a_term_begins(lines):
    clock = Clock()
    with simulated_time(clock):
        measured = PlannerLoad()
        measured.count_message("report")
        clock.now_s += 30.0
        measured.begin_window()
        clock.now_s += 1.0
        measured.record_round(0.1)
    assert lines[0]["window_s"] == 1.0
    assert lines[0]["messages"] == {}
