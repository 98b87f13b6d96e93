"""Tests of decoding the messages between the planner and the agents."""

from __future__ import annotations

import msgspec
import pytest

from hyssoprill.errors import FrameError
from hyssoprill.protocol.messages import Envelope, decode, encode
from hyssoprill.protocol.upstream_messages import (
    EndReport,
    Grant,
    RunReport,
    UpstreamOrders,
    UpstreamReport,
    VmHeartbeat,
    VmOrders,
    VmReport,
)

KEY = "vm-1|10.0.0.1:80|100|i-1"
HUGE = 2**64 - 1


def report(key: str = KEY, ended_keys: tuple[str, ...] = (), **fields) -> VmReport:
    upstream = UpstreamReport(key, "g", "zone-a", accepting=True, **fields)
    return VmReport("vm-1", 1.0, 1, [upstream], list(ended_keys))


ODD_MESSAGES = [
    report("vm-1|10.0.0.1:80|100"),
    report("vm-1|10.0.0.1:80|100|i|1"),
    report("vm-1|10.0.0.1:80|x|i-1"),
    report(ended_keys=("",)),
    report(running=[RunReport("t", HUGE, "", 1)]),
    report(running=[RunReport("t", 1, "", HUGE)]),
    report(ended=[EndReport(HUGE, "t", 1, "done", "")]),
    report(closed=[("t", HUGE)]),
    report(remaining_ms=HUGE),
    report(capacity=(HUGE, 1, 1)),
    report(capacity=(-1, 1, 1)),
    VmOrders(HUGE, 1, 1.0, []),
    VmOrders(1, 1, 1.0, [UpstreamOrders("x", [], [], 0)]),
    Grant(1, 1.0, HUGE),
]


@pytest.mark.parametrize("message", ODD_MESSAGES, ids=range(len(ODD_MESSAGES)))
def test_message_with_a_value_out_of_range_is_not_decoded(message):
    """A key that cannot be parsed ended the planner's rounds."""
    with pytest.raises(FrameError):
        decode(encode(Envelope("vm-1", "1", message)))


@pytest.mark.parametrize("body", [b"\x91" * 100_000, b"\xa1\xff", b""])
def test_bytes_that_are_no_message_are_not_decoded(body):
    with pytest.raises(FrameError):
        decode(b"\x93\xa1a\xa1b" + body)


def test_message_with_the_largest_values_is_decoded():
    message = report(running=[RunReport("t", 2**53 - 1, "", 100)], remaining_ms=-1)
    envelope = Envelope("vm-1", "1", message)
    assert decode(encode(envelope)) == envelope


def test_heartbeat_of_a_process_that_measures_no_delay_is_understood():
    packed = encode(Envelope("vm-1", "1", VmHeartbeat("vm-1", 1.0, 1, 2, 3, 0.5, 2)))
    fields = msgspec.msgpack.decode(packed)
    fields[-1] = fields[-1][:-2]
    message = decode(msgspec.msgpack.encode(fields)).body
    assert message == VmHeartbeat("vm-1", 1.0, 1, 2, 3)
