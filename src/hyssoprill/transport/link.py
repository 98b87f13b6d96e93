"""Message links between processes, over pynng pair sockets.

A process listens on one socket for all peers that dial it, and keeps one dialled
socket for each known entry. A dialled socket that receives nothing for
`SILENCE_TIMEOUT_S` is closed and dialled again.
"""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING, Self

import pynng

from ..errors import FrameError
from ..protocol.superseding import supersedes
from ..tasks import TaskSet
from .frame import MAX_FRAME_BYTES, FrameCodec
from .mailbox import Mailbox

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterator

    from ..protocol.messages import AnyMessage, Envelope
    from .metrics import Metrics

    Handler = Callable[[Envelope], Awaitable[None]]

SILENCE_TIMEOUT_S = 1.5
REDIAL_DELAY_S = 0.2
MAX_QUEUED_MESSAGES = 1024
MAX_RECEIVED_AT_ONCE = 512
"""Most frames that are received in a row before any message is handled.

Handled one by one, the newest message of a peer waits for all that it supersedes."""


class LinkHub:
    """Sends messages to named peers and passes received messages to a handler.

    Parameters
    ----------
    codec : FrameCodec
        Encrypts and decrypts frames.
    handler : callable
        Coroutine function called for the received envelopes, one at a time for
        each peer. It is not called for those that are superseded before their turn.
    metrics : Metrics
        Receives counts of frames, bytes, reconnects and errors.
    """

    def __init__(self, codec: FrameCodec, handler: Handler, metrics: Metrics) -> None:
        self._codec = codec
        self._handler = handler
        self._metrics = metrics
        self._listener: pynng.Pair1 | None = None
        self._inbound: dict[str, pynng.Pipe] = {}
        self._dialled: dict[str, _DialledLink] = {}
        self._mailboxes: dict[str, Mailbox[Envelope]] = {}
        self._tasks = TaskSet()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_exc_info: object) -> None:
        for link in list(self._dialled.values()):
            link.close()
        await self._tasks.close()
        if self._listener is not None:
            self._listener.close()

    def listen(self, address: str, port: int) -> str:
        """Accept peers on an address; return the URL with the bound port."""
        self._listener = pynng.Pair1(
            polyamorous=True,
            recv_max_size=MAX_FRAME_BYTES,
            send_buffer_size=128,
            recv_buffer_size=128,
        )
        listener = self._listener.listen(f"tcp://{address}:{port}")
        bound = listener.local_address
        receive = partial(self._receive_inbound, self._listener)
        self._tasks.supervise("link_listener", receive)
        return f"tcp://{address}:{_bound_port(bound)}"

    def dial(self, name: str, url: str) -> None:
        """Keep a link to the entry at a URL open, under a name chosen by the caller."""
        known = self._dialled.get(name)
        if known is not None:
            if known.url == url:
                return
            self.hang_up(name)
        link = _DialledLink(name, url)
        self._dialled[name] = link
        self._tasks.supervise("link", partial(self._maintain_link, link))

    def hang_up(self, name: str) -> None:
        """Close a dialled link and stop redialling it."""
        link = self._dialled.pop(name, None)
        if link is not None:
            link.close()

    @property
    def dialled_urls(self) -> dict[str, str]:
        """URL of each dialled link, by name."""
        return {name: link.url for name, link in self._dialled.items()}

    async def send(self, name: str, message: AnyMessage) -> bool:
        """Send a message to a peer.

        Returns
        -------
        bool
            False if there is no link to the peer or sending failed. True does
            not mean that the peer received the message.
        """
        frame = self._codec.seal(message)
        self._metrics.count("frames_sent", len(frame))
        link = self._dialled.get(name)
        if link is not None and link.socket is not None:
            return await _send_with_timeout(link.socket, frame)
        return await self._send_inbound(name, frame)

    async def send_back(self, name: str, message: AnyMessage) -> bool:
        """Send on the link that a peer dialled, so that its silence timeout resets."""
        if name not in self._inbound:
            return False
        frame = self._codec.seal(message)
        self._metrics.count("frames_sent", len(frame))
        return await self._send_inbound(name, frame)

    async def _send_inbound(self, name: str, frame: bytes) -> bool:
        pipe = self._inbound.get(name)
        return pipe is not None and await _send_with_timeout(pipe, frame)

    async def _receive_inbound(self, socket: pynng.Pair1) -> None:
        while True:
            try:
                message = await socket.arecv_msg()
            except pynng.Closed:
                return
            self._accept(message)
            for waiting in _waiting_messages(socket):
                self._accept(waiting)

    def _accept(self, message: pynng.Message) -> None:
        envelope = self._decode_frame(message.bytes)
        if envelope is not None:
            self._inbound[envelope.sender] = message.pipe
            self._enqueue(envelope)

    async def _maintain_link(self, link: _DialledLink) -> None:
        while not link.closed:
            try:
                await self._use_link(link)
            except pynng.NNGException as exc:
                # The address cannot be dialled, or there are no resources to do so.
                self._metrics.failure("link_dial", exc)
            self._metrics.count("links_redialled")
            await asyncio.sleep(REDIAL_DELAY_S)

    async def _use_link(self, link: _DialledLink) -> None:
        """Dial a link and receive from it until it is silent or closed."""
        with pynng.Pair1(
            polyamorous=True, recv_max_size=MAX_FRAME_BYTES, send_buffer_size=128
        ) as socket:
            socket.dial(link.url, block=False)
            link.socket = socket
            try:
                await self._receive_until_silent(socket)
            finally:
                link.socket = None

    async def _receive_until_silent(self, socket: pynng.Pair1) -> None:
        # `asyncio.wait_for` would receive in a separate task, whose exception is never
        # retrieved if the link is closed while that task is being cancelled.
        with suppress(pynng.Closed, TimeoutError):
            while True:
                async with asyncio.timeout(SILENCE_TIMEOUT_S):
                    received = await socket.arecv()
                envelope = self._decode_frame(received)
                if envelope is not None:
                    self._enqueue(envelope)

    def _decode_frame(self, frame: bytes) -> Envelope | None:
        self._metrics.count("frames_received", len(frame))
        try:
            return self._codec.open(frame)
        except FrameError:
            self._metrics.count("frames_dropped")
            return None

    def _enqueue(self, envelope: Envelope) -> None:
        mailbox = self._mailboxes.get(envelope.sender)
        if mailbox is None:
            mailbox = Mailbox(MAX_QUEUED_MESSAGES, _replaces)
            self._mailboxes[envelope.sender] = mailbox
            self._tasks.supervise("link_peer", partial(self._serve_peer, mailbox))
        try:
            replaced = mailbox.put(envelope)
        except asyncio.QueueFull:
            self._metrics.count("messages_dropped")
            return
        for _ in range(replaced):
            self._metrics.count("messages_superseded")

    async def _serve_peer(self, mailbox: Mailbox[Envelope]) -> None:
        while True:
            envelope = await mailbox.get()
            started = time.perf_counter()
            try:
                await self._handler(envelope)
            except Exception as exc:  # noqa: BLE001 - other messages are still served
                self._metrics.failure("message_handler", exc)
            self._metrics.busy(time.perf_counter() - started)


class _DialledLink:
    """A link to one entry that this process dials."""

    def __init__(self, name: str, url: str) -> None:
        self.name = name
        self.url = url
        self.socket: pynng.Pair1 | None = None
        self.closed = False

    def close(self) -> None:
        self.closed = True
        if self.socket is not None:
            self.socket.close()


def _replaces(newer: Envelope, older: Envelope) -> bool:
    """Return whether an envelope replaces an earlier one of the same process."""
    is_same = newer.incarnation == older.incarnation
    return is_same and supersedes(newer.body, older.body)


async def _send_with_timeout(target: pynng.Pair1 | pynng.Pipe, frame: bytes) -> bool:
    try:
        async with asyncio.timeout(SILENCE_TIMEOUT_S):
            await target.asend(frame)
    except (pynng.NNGException, TimeoutError):
        return False
    return True


def _waiting_messages(socket: pynng.Pair1) -> Iterator[pynng.Message]:
    """Yield frames that a socket has already received, a bounded number."""
    with suppress(pynng.TryAgain, pynng.Closed):
        for _ in range(MAX_RECEIVED_AT_ONCE):
            yield socket.recv_msg(block=False)


def _bound_port(address: object) -> int:
    """Return the port of a bound socket address."""
    return int(str(address).rpartition(":")[2])


__all__ = ["SILENCE_TIMEOUT_S", "LinkHub"]
