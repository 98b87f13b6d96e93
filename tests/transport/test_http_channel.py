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
