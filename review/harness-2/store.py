"""Stand-in of the store: the project's own, with the size limits of the protocol.

An append with a record of more than `RECORD_BYTES`, or with records of more than
`REQUEST_BYTES` in all, is answered with 400 and does nothing.
"""

from __future__ import annotations

import asyncio
import json
import struct

import click
from standins import platform_store as base
from tornado.web import Application

RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
LENGTH = struct.Struct(">I")


class _Append(base._Append):
    def post(self) -> None:
        body = self.request.body
        largest = max(_sizes(body), default=0)
        if largest > RECORD_BYTES or len(body) > REQUEST_BYTES:
            line = {"refused": len(body), "largest_record": largest}
            print(json.dumps(line), flush=True)
            self.set_status(400)
            self.finish({"error": "a record is larger than record_bytes"})
            return
        super().post()


def _sizes(body: bytes) -> list[int]:
    """Return the sizes of the records of an append."""
    sizes, position = [], 0
    while position < len(body):
        (size,) = LENGTH.unpack_from(body, position)
        sizes.append(size)
        position += LENGTH.size + size
    return sizes


async def _serve(port: int) -> None:
    args = {"state": base.StoreState()}
    app = Application(
        [
            ("/log-append", _Append, args),
            ("/log-read", base._Read, args),
            ("/log-newest", base._Newest, args),
            ("/switches", base._Switches, args),
        ]
    )
    app.listen(port, "127.0.0.1")
    print(json.dumps({"port": port}), flush=True)
    await asyncio.Event().wait()


@click.command()
@click.option("--port", type=int, required=True)
def main(port: int) -> None:
    """Serve the store until ended."""
    asyncio.run(_serve(port))


if __name__ == "__main__":
    main()
