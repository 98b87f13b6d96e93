"""A TCP proxy on loopback addresses that harms what it forwards, as it is told.

Lines on standard input:

silence
    The connections that are open now carry nothing more, in either direction, without
    being closed. New ones work.
late COUNT SECONDS
    The next calls of `POST /run-start`, so many, get no answer and are delivered that
    much later, on a connection of their own.
delay SECONDS
    What the target sends is forwarded that much later.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
from contextlib import suppress

CHUNK_BYTES = 65_536
LATE_CALL = b"POST /run-start "
HEAD_END = b"\r\n\r\n"


class Connection:
    """One forwarded connection."""

    def __init__(self) -> None:
        self.silent = False


class Proxy:
    """Forwards all connections to one address."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._open: set[Connection] = set()
        self._late_count = 0
        self._late_s = 0.0
        self._delay_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection until both sides have closed it."""
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._host, self._port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = Connection()
        self._open.add(connection)
        await asyncio.gather(
            self._pump_calls(connection, reader, far_writer),
            self._pump_answers(connection, far_reader, writer),
        )
        self._open.discard(connection)
        writer.close()
        far_writer.close()

    async def _pump_calls(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self._late_count and chunk.startswith(LATE_CALL):
                    self._late_count -= 1
                    connection.silent = True
                    self._spawn_late(await read_call(chunk, reader))
                    continue
                if not connection.silent:
                    writer.write(chunk)
                    await writer.drain()
            if not connection.silent:
                writer.close()

    async def _pump_answers(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self._delay_s:
                    await asyncio.sleep(self._delay_s)
                if not connection.silent:
                    writer.write(chunk)
                    await writer.drain()
            if not connection.silent:
                writer.close()

    def _spawn_late(self, call: bytes) -> None:
        task = asyncio.ensure_future(self._deliver(call, self._late_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _deliver(self, call: bytes, after_s: float) -> None:
        """Deliver a call whose caller waits no more."""
        await asyncio.sleep(after_s)
        reader, writer = await asyncio.open_connection(self._host, self._port)
        writer.write(call)
        head = await reader.readuntil(HEAD_END)
        status = head.split(b"\r\n", 1)[0].decode()
        print(f'{{"event": "delivered late", "answer": "{status}"}}', flush=True)
        writer.close()

    def apply(self, line: str) -> None:
        """Carry out a line of standard input."""
        words = line.split()
        if words[0] == "silence":
            for connection in self._open:
                connection.silent = True
        elif words[0] == "late":
            self._late_count, self._late_s = int(words[1]), float(words[2])
        elif words[0] == "delay":
            self._delay_s = float(words[1])


async def read_call(chunk: bytes, reader: asyncio.StreamReader) -> bytes:
    """Read the rest of a call that begins with a chunk."""
    while HEAD_END not in chunk:
        chunk += await reader.read(CHUNK_BYTES)
    head, _, body = chunk.partition(HEAD_END)
    fields = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
    )
    missing = int(fields.get(b"content-length", b"0")) - len(body)
    return chunk + (await reader.readexactly(missing) if missing > 0 else b"")


async def serve(listen: str, target: str) -> None:
    """Forward connections until standard input ends."""
    proxy = Proxy(target)
    host, _, port = listen.rpartition(":")
    await asyncio.start_server(proxy.accept, host, int(port))
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        proxy.apply(line)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("listen")
    parser.add_argument("target")
    args = parser.parse_args()
    asyncio.run(serve(args.listen, args.target))
