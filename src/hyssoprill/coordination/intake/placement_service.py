"""Answers an operator's question where a job would go, at any entry.

The planner answers; the other entries pass the question on to it.
"""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

import msgspec
from msgspec import structs

from ...clock import boottime_s
from ...errors import HyssoprillError, UnservedError
from ...protocol.placement_query import (
    JobPlacement,
    PlacementAnswer,
    PlacementQuery,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...protocol.placement_query import JobDraft
    from ...transport.link import LinkHub
    from ..planner.replica import Replica

ANSWER_TIMEOUT_S = 2.0
SEND_RETRY_S = 0.01
MAX_PENDING_QUERIES = 16
MIN_QUERY_INTERVAL_S = 0.2
"""The planner answers at most one question in this time, as each costs it a round."""


class PlacementService:
    """Asks the planner, and answers other entries while this one is the planner.

    Parameters
    ----------
    name : str
        Name of this entry.
    replica : Replica
        Tells which entry is the planner.
    open_link : callable
        Opens a link to an entry, by name and address, until it is idle.
    place : callable
        Answers a draft while this entry is the planner.
    """

    def __init__(
        self,
        name: str,
        hub: LinkHub,
        replica: Replica,
        open_link: Callable[[str, str], None],
        place: Callable[[JobDraft], JobPlacement],
    ) -> None:
        self._name = name
        self._hub = hub
        self._replica = replica
        self._open_link = open_link
        self._place = place
        self._last_answer_s = float("-inf")
        self._pending: dict[str, asyncio.Future[PlacementAnswer]] = {}

    async def ask(self, draft: JobDraft) -> JobPlacement:
        """Return where a job would go now.

        Raises
        ------
        InvalidRequestError
            Where the draft names no workspace or queue of the config.
        UnservedError
            Where no entry is planner, or the planner does not answer.
        """
        term = self._replica.job_table.term
        if term is None or self._replica.job_table.is_term_vacant:
            raise UnservedError(
                "no entry is the planner now", code="no_planner", remedy="ask again"
            )
        if term.planner == self._name:
            return self._answer_here(draft)
        answer = await self._ask_planner(term.planner, term.link_url, draft)
        if answer.code:
            raise UnservedError(answer.message, code=answer.code)
        return msgspec.json.decode(answer.body, type=JobPlacement)

    async def _ask_planner(
        self, planner: str, link_url: str, draft: JobDraft
    ) -> PlacementAnswer:
        if len(self._pending) >= MAX_PENDING_QUERIES:
            raise UnservedError(
                f"{MAX_PENDING_QUERIES} questions wait for the planner",
                code="busy",
                remedy="ask again",
            )
        token = secrets.token_hex(8)
        fut: asyncio.Future[PlacementAnswer]
        fut = asyncio.get_running_loop().create_future()
        self._pending[token] = fut
        self._open_link(planner, link_url)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                query = PlacementQuery(token, draft)
                while not await self._hub.send(planner, query):
                    await asyncio.sleep(SEND_RETRY_S)
                return await fut
        except TimeoutError as exc:
            raise UnservedError(
                f"the planner {planner} has not answered in {ANSWER_TIMEOUT_S} s",
                code="planner_silent",
                remedy="ask again, or ask another entry",
            ) from exc
        finally:
            del self._pending[token]

    def _answer_here(self, draft: JobDraft) -> JobPlacement:
        """Return the answer of this entry, the planner."""
        now_s = boottime_s()
        if now_s - self._last_answer_s < MIN_QUERY_INTERVAL_S:
            raise UnservedError(
                f"the planner has answered a question within {MIN_QUERY_INTERVAL_S} s",
                code="busy",
                remedy="ask again in a second",
            )
        self._last_answer_s = now_s
        found = self._place(draft)
        age_s = round(self._replica.age_s, 3)
        return structs.replace(found, planner=self._name, state_age_s=age_s)

    def handle_answer(self, answer: PlacementAnswer) -> None:
        """Pass the planner's answer to the question that waits for it."""
        fut = self._pending.get(answer.token)
        if fut is not None and not fut.done():
            fut.set_result(answer)

    def answer(self, query: PlacementQuery) -> PlacementAnswer:
        """Return the answer to another entry's question."""
        try:
            found = self._answer_here(query.draft)
        except HyssoprillError as exc:
            return PlacementAnswer(query.token, b"", exc.code, str(exc))
        return PlacementAnswer(query.token, msgspec.json.encode(found))


__all__ = ["PlacementService"]
