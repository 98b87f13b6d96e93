"""Encodes messages as authenticated, encrypted frames for links between processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nacl.exceptions import CryptoError
from nacl.secret import SecretBox

from ..errors import FrameError
from ..protocol.messages import Envelope, decode, encode

if TYPE_CHECKING:
    from ..protocol.messages import AnyMessage

MAX_FRAME_BYTES = 72 * 1024 * 1024


class FrameCodec:
    """Encrypts and decrypts frames with the shared cluster key.

    Parameters
    ----------
    cluster_key : str
        32 bytes in hexadecimal.
    name, incarnation : str
        Sender identity written into each envelope.
    """

    def __init__(self, cluster_key: str, name: str, incarnation: str) -> None:
        self._box = SecretBox(bytes.fromhex(cluster_key))
        self._name = name
        self._incarnation = incarnation

    def seal(self, message: AnyMessage) -> bytes:
        """Encrypt a message into a frame."""
        envelope = Envelope(self._name, self._incarnation, message)
        return bytes(self._box.encrypt(encode(envelope)))

    def open(self, frame: bytes) -> Envelope:
        """Decrypt a frame and return its envelope.

        Raises
        ------
        FrameError
            If the frame was not encrypted with the cluster key or holds no
            known message.
        """
        try:
            plain = self._box.decrypt(frame)
        except (CryptoError, ValueError) as exc:
            raise FrameError(
                "frame was not sealed with the cluster key",
                remedy="use the same 'cluster_key' in all settings",
            ) from exc
        return decode(plain)


__all__ = ["MAX_FRAME_BYTES", "FrameCodec"]
