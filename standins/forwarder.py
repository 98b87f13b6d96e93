"""A TCP forwarder that can cut or silence its connections, for tests."""

from __future__ import annotations

import asyncio
import threading
from contextlib import suppress
from typing import Self

CHUNK_BYTES = 65_536


class Forwarder:
    """Forwards a port to another, in a thread of its own.

    While `silent`, open connections stay open but carry nothing for good; new
    ones work again once it is no longer silent. While `cut`, all fail.
    """

    def __init__(self, target: str) -> None:
        self.set_target(target)
        self._scheme = target.partition("://")[0]
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._connections: list[_Connection] = []
        self.cut = False
        self.url = ""

    def __enter__(self) -> Self:
        self._thread.start()
        self._ready.wait(5)
        return self

    def __exit__(self, *_exc_info: object) -> None:
        asyncio.run_coroutine_threadsafe(self._close(), self._loop)
        self._thread.join(5)

    def set_target(self, target: str) -> None:
        """Forward new connections to another address."""
        host, _, port = target.rpartition("/")[2].rpartition(":")
        self._target = (host, int(port))

    def silence_open(self) -> int:
        """Make all connections that are open now go silent for good."""
        for connection in self._connections:
            connection.silent = True
        return len(self._connections)

    def set_cut(self, cut: bool) -> None:
        """Cut off both sides from each other, or connect them again."""
        self.cut = cut
        if cut:
            self.silence_open()

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._listen())
        self._ready.set()
        self._loop.run_forever()

    async def _close(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._loop.call_soon(self._loop.stop)

    async def _listen(self) -> None:
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.url = f"{self._scheme}://127.0.0.1:{port}"

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection()
        connection.silent = self.cut
        self._connections.append(connection)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            connection.pump(reader, far_writer), connection.pump(far_reader, writer)
        )
        self._connections.remove(connection)


class _Connection:
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


__all__ = ["Forwarder"]
