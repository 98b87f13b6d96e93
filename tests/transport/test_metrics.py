from __future__ import annotations

from hyssoprill.transport.metrics import Metrics


def test_counters_are_up_to_date_when_they_are_read_again():
    metrics = Metrics("entry", "entry-1")
    for expected in (1, 2):
        metrics.count("frames_sent", 300)
        lines = metrics.text().decode().splitlines()
        values = {line.partition("{")[0]: line.rpartition(" ")[2] for line in lines}
        assert values["hyssoprill_frames_sent_total"] == str(expected)
        assert values["hyssoprill_frames_sent_bytes_total"] == str(300 * expected)
