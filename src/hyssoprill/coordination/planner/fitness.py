"""Measures how fast each entry computes, so that a fast one plans.

Each entry measures its own speed and publishes it in the topic of the entries.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta

from ...clock import boottime_s
from ...errors import StoreError
from ...logs import decision
from ...ports.store import Record
from ..entry_watcher import SPEED_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...ports.store import StorePort

UNIT_ITERATIONS = 10_000
"""Size of the unit of work; it takes about 1 ms of a whole core."""
FIRST_SAMPLE_INTERVAL_S = 0.05
SAMPLE_INTERVAL_S = 3.0
WINDOW_SAMPLES = 5
"""Number of newest samples that count.

The second fastest of them is the speed: other work only ever slows a sample down."""
MIN_PUBLISHED_CHANGE = 0.3
"""The speed is published again when it has changed by this fraction."""
PUBLISH_RETRY_S = 0.3
MAX_RELATIVE_SPEED = 0.7
"""An entry is clearly slower than another below this fraction of the other's speed.

Well below the differences between samples of equal VMs."""
CLAIM_DELAY_S = 0.5
"""A clearly slower entry claims the term this much later.

Longer than other entries take to notice a vacancy, claim the term and be read."""
MIN_SPEED = 0.01
MAX_SPEED = 1e6
"""Bounds of a credible speed, in units a second; a whole core does about 1,000."""
MAX_KNOWN_ENTRIES = 10_000
MAX_LOGGED = 64
"""Characters of an unreadable record that are logged."""

Speed = Annotated[float, Meta(ge=MIN_SPEED, le=MAX_SPEED)]


class EntrySpeeds:
    """Speeds of this entry and of the others, as they have published them.

    Parameters
    ----------
    name : str
        This entry.

    Attributes
    ----------
    own : float
        Speed of this entry in units a second, 0 until it is measured.
    """

    def __init__(self, name: str) -> None:
        self.own = 0.0
        self._name = name
        self._peers: dict[str, float] = {}

    def update(self, name: str, text: str) -> None:
        """Set the speed of an entry from its record; '' removes it.

        A value that cannot be a speed is logged, and changes nothing.
        """
        if not text:
            self._peers.pop(name, None)
            return
        try:
            speed = msgspec.json.decode(text, type=Speed)
        except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
            decision("speed_unreadable", entry=name[:MAX_LOGGED], why=str(exc))
            return
        if name == self._name:
            return
        if name in self._peers or len(self._peers) < MAX_KNOWN_ENTRIES:
            self._peers[name] = speed

    def claim_delay_s(self, former_planner: str) -> float:
        """Return how long this entry leaves a free term to clearly faster ones.

        The entry that had the term does not count, as it has left it.
        """
        speeds = [
            speed for name, speed in self._peers.items() if name != former_planner
        ]
        fastest = max(speeds, default=0.0)
        return CLAIM_DELAY_S if _is_clearly_slower(self.own, fastest) else 0.0

    @property
    def faster_peer(self) -> tuple[str, float] | None:
        """Name and speed of the fastest peer, if this entry is clearly slower."""
        if not self._peers:
            return None
        name, speed = max(self._peers.items(), key=lambda one: one[1])
        return (name, speed) if _is_clearly_slower(self.own, speed) else None

    def is_slower(self, name: str) -> bool:
        """Return whether an entry is clearly slower than another known one."""
        speed = self.own if name == self._name else self._peers.get(name, 0.0)
        return _is_clearly_slower(speed, max([self.own, *self._peers.values()]))


class SpeedMeter:
    """Measures this entry's speed and publishes it when it has changed.

    Parameters
    ----------
    name : str
        This entry.
    speeds : EntrySpeeds
        Gets the measured speed.
    is_planning : callable
        Tells whether this entry is the planner. Its speed is not measured then, as the
        load would count as slowness and the term would pass between equal entries.
    """

    def __init__(
        self,
        name: str,
        store: StorePort,
        speeds: EntrySpeeds,
        is_planning: Callable[[], bool],
    ) -> None:
        self._name = name
        self._store = store
        self._speeds = speeds
        self._is_planning = is_planning
        self._samples: deque[float] = deque(maxlen=WINDOW_SAMPLES)
        self._published = 0.0

    async def run(self) -> None:
        """Measure and publish forever."""
        while len(self._samples) < WINDOW_SAMPLES:
            await self._measure()
            await asyncio.sleep(FIRST_SAMPLE_INTERVAL_S)
        while True:
            await self._publish_if_changed()
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            if not self._is_planning():
                await self._measure()

    async def _measure(self) -> None:
        """Take a sample.

        The loop enters the system on both sides: some platforms charge the clock with
        processor time only there.
        """
        await asyncio.sleep(0)
        began_s = boottime_s()
        _work_one_unit()
        await asyncio.sleep(0)
        took_s = boottime_s() - began_s
        self._samples.append(1 / max(took_s, 1 / MAX_SPEED))
        self._speeds.own = sorted(self._samples)[-2:][0]

    async def _publish_if_changed(self) -> None:
        """Store the speed, with retries, if others know one that is far from it."""
        speed = self._speeds.own
        if abs(speed - self._published) <= MIN_PUBLISHED_CHANGE * self._published:
            return
        record = Record(SPEED_PREFIX + self._name, msgspec.json.encode(round(speed, 3)))
        while True:
            try:
                await self._store.append("members", [record])
            except StoreError as exc:
                decision("speed_retried", why=str(exc))
                await asyncio.sleep(PUBLISH_RETRY_S)
                continue
            break
        self._published = speed
        decision("speed_published", speed=round(speed, 3))


def _is_clearly_slower(speed: float, fastest: float) -> bool:
    """Compare a speed, 0 if it is not known, with the fastest one."""
    return 0 < speed < MAX_RELATIVE_SPEED * fastest


def _work_one_unit() -> int:
    value = 1
    for step in range(UNIT_ITERATIONS):
        value = (value * 31 + step) & 0xFFFF
    return value


__all__ = ["EntrySpeeds", "SpeedMeter"]
