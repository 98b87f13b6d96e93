"""Tells which messages between the planner and the agents make earlier ones needless.

These messages carry the whole state, so that only the newest of a sender counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .upstream_messages import Grant, VmHeartbeat, VmOrders, VmReport

if TYPE_CHECKING:
    from .message import Message


def supersedes(newer: Message, older: Message) -> bool:
    """Return whether a message replaces an earlier one between the same processes.

    A heartbeat or grant does not replace a report or orders, whose contents it does
    not repeat.
    """
    match newer:
        case VmReport():
            return isinstance(older, VmReport | VmHeartbeat) and newer.vm == older.vm
        case VmHeartbeat():
            return isinstance(older, VmHeartbeat) and newer.vm == older.vm
        case VmOrders():
            return isinstance(older, VmOrders) and _position(newer) > _position(older)
        case Grant():
            return isinstance(older, Grant) and newer.term >= older.term
    return False


def _position(orders: VmOrders) -> tuple[int, int]:
    return orders.term, orders.number


__all__ = ["supersedes"]
