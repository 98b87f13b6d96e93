"""Tests of the limit of reports that answer messages of entries."""

from __future__ import annotations

from hyssoprill.coordination.upstream import answer_limit
from hyssoprill.coordination.upstream.answer_limit import AnswerLimit


def test_answers_are_refused_when_the_interval_has_had_its_number(monkeypatch):
    now_s = 100.0
    monkeypatch.setattr(answer_limit, "boottime_s", lambda: now_s)
    limit = AnswerLimit(2, 0.5)
    assert [limit.allow() for _ in range(3)] == [True, True, False]
    now_s = 100.49
    assert not limit.allow()
    now_s = 100.5
    assert [limit.allow() for _ in range(3)] == [True, True, False]


def test_refused_answers_do_not_count_when_the_interval_has_passed(monkeypatch):
    now_s = 100.0
    monkeypatch.setattr(answer_limit, "boottime_s", lambda: now_s)
    limit = AnswerLimit(1, 0.5)
    assert limit.allow()
    now_s = 100.4
    assert not limit.allow()
    now_s = 100.6
    assert limit.allow()
