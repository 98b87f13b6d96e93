"""Tests of the delay that an agent measures on the planner's answers."""

from __future__ import annotations

import pytest

from hyssoprill.clock import simulated_time
from hyssoprill.coordination.upstream.answer_delay import AnswerDelay


def test_delay_is_the_age_of_the_message_that_a_grant_answers():
    now_s = 10.0
    with simulated_time(lambda: now_s):
        answers = AnswerDelay()
        assert answers.newest == (0.0, 0)
        answers.record_sent(10.0)
        now_s = 10.2
        answers.record_answer(4, 10.0)
        now_s = 15.0
        assert answers.newest == (pytest.approx(0.2), 4)


def test_message_without_an_answer_counts_by_its_age_until_a_later_one_is_answered():
    now_s = 10.0
    with simulated_time(lambda: now_s):
        answers = AnswerDelay()
        for sent_s in (10.0, 10.6, 11.2):
            answers.record_sent(sent_s)
        now_s = 11.3
        assert answers.newest[0] == pytest.approx(1.3)
        answers.record_answer(1, 10.6)
        assert answers.newest[0] == pytest.approx(0.7)
        now_s = 12.2
        assert answers.newest[0] == pytest.approx(1.0)
        answers.record_answer(1, 11.2)
        now_s = 20.0
        assert answers.newest[0] == pytest.approx(1.0)


def test_unanswered_messages_are_bounded_and_the_oldest_counts():
    now_s = 1000.0
    with simulated_time(lambda: now_s):
        answers = AnswerDelay()
        for sent_s in range(1000):
            answers.record_sent(float(sent_s))
        assert answers.newest[0] == pytest.approx(1000.0)
        answers.record_answer(1, 999.0)
        assert answers.newest[0] == pytest.approx(1.0)
