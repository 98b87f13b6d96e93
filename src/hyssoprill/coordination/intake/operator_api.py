"""Operators' questions to an entry for durable jobs, over HTTP."""

from __future__ import annotations

import msgspec

from ...errors import InvalidRequestError
from ...protocol.placement_query import JobDraft
from ...transport.http_server import OperatorHandler

_decoder = msgspec.json.Decoder(JobDraft)


class PlaceHandler(OperatorHandler):
    """Answers where a job would go now, without accepting it."""

    async def post(self) -> None:
        """Send the placement of the job in the body."""
        try:
            draft = _decoder.decode(self.request.body)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise InvalidRequestError(
                f"the job cannot be read: {exc}",
                remedy="see docs/reference/http.md, 'Operators of durable jobs'",
            ) from exc
        self.reply(await self.services["placement"].ask(draft))


__all__ = ["PlaceHandler"]
