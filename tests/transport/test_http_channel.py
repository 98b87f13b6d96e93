from __future__ import annotations

import asyncio
import socket

import pytest

from hyssoprill.transport.http_channel import HttpChannel, NotListeningError


def test_refused_connection_is_told_from_one_that_is_not_answered():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        port = listener.getsockname()[1]
    channel = HttpChannel(f"127.0.0.1:{port}")
    with pytest.raises(NotListeningError):
        asyncio.run(channel.call("GET", "/", timeout_s=1.0))


def test_call_is_not_sent_on_an_idle_connection_that_the_server_has_closed():
    async def scenario() -> None:
        connections = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            connections.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        channel = HttpChannel(f"127.0.0.1:{port}")
        assert (await channel.call("POST", "/", b"{}", timeout_s=1.0)).status == 200
        server.close()
        connections[0].close()
        await asyncio.sleep(0.05)
        with pytest.raises(NotListeningError):
            await channel.call("POST", "/", b"{}", timeout_s=1.0)

    asyncio.run(scenario())
