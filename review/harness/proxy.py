"""A TCP proxy on loopback addresses whose open connections can go silent for good.

A line `silence` on standard input makes the connections that are open now carry
nothing more, in either direction, without closing them. New ones work.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from contextlib import suppress

CHUNK_BYTES = 65_536


class Connection:
    """One forwarded connection."""

    def __init__(self) -> None:
        self.silent = False

    async def pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy one direction; a silent connection swallows everything."""
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if not self.silent:
                    writer.write(chunk)
                    await writer.drain()
            if not self.silent:
                writer.close()


class Proxy:
    """Forwards all connections to one address."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._open: set[Connection] = set()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until both sides have closed it."""
        try:
            far = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        connection = Connection()
        self._open.add(connection)
        await asyncio.gather(
            connection.pump(reader, far[1]), connection.pump(far[0], writer)
        )
        self._open.discard(connection)
        writer.close()
        far[1].close()

    def silence(self) -> int:
        """Make all open connections silent; return how many they are."""
        for connection in self._open:
            connection.silent = True
        return len(self._open)


async def serve(listen: str, target: str) -> None:
    """Forward connections until standard input ends."""
    proxy = Proxy(target)
    host, _, port = listen.rpartition(":")
    await asyncio.start_server(proxy.accept, host, int(port))
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        if line.strip() == "silence":
            print(proxy.silence(), flush=True)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("listen")
    parser.add_argument("target")
    args = parser.parse_args()
    asyncio.run(serve(args.listen, args.target))
