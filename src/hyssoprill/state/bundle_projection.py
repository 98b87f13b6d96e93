"""Fold of the log into the bundle in force.

A bundle is in force from its offset on if its parent is in force there; every reader
refuses every other one alike. Snapshots carry the fold past the log's retention.
"""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, Any

import msgspec
from msgspec import Struct

from ..errors import BundleError
from ..protocol.bundle import EMPTY_BUNDLE, Bundle, SignedBundle, verify_bundle

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ..transport.platform_log import StoredRecord

BUNDLE_STREAM = "bundle"
SNAPSHOT_STREAM = "bundle_snapshot"
MAX_VERDICTS = 2000


class PublishResult(Struct, frozen=True):
    """What became of a published bundle."""

    accepted: bool
    version: int
    offset: int
    code: str = ""
    reason: str = ""


class Snapshot(Struct, frozen=True):
    """The bundle in force after an offset, sealed with the cluster key."""

    signed: SignedBundle
    in_force_since: int
    as_of: int
    seal: str


class BundleProjection:
    """The bundle in force, and the verdicts on all that were published.

    Parameters
    ----------
    trusted : mapping of str to str
        Public keys by person.
    cluster_key : str
        Key in hexadecimal that seals snapshots.
    """

    def __init__(self, trusted: Mapping[str, str], cluster_key: str) -> None:
        self._trusted = trusted
        self._key = bytes.fromhex(cluster_key)
        self._base_known = False
        self._early: list[StoredRecord] = []
        self.bundle: Bundle = EMPTY_BUNDLE
        self.signed: SignedBundle | None = None
        self.offset = -1
        self.as_of = -1
        self.publish_results: dict[str, PublishResult] = {}

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.bundle.version if self.signed else 0

    def set_first_offset(self, first_offset: int) -> None:
        """Note the oldest offset kept, before the first record is applied."""
        if first_offset == 0:
            self._base_known = True

    def apply(self, record: StoredRecord) -> bool:
        """Take in a record; return whether another bundle came into force."""
        before = self.version
        if record.stream == SNAPSHOT_STREAM:
            self._apply_snapshot(record)
        elif record.stream == BUNDLE_STREAM:
            self._apply_bundle(record)
        self.as_of = max(self.as_of, record.offset)
        return self.version != before

    def adopt(self, offset: int, signed: SignedBundle) -> bool:
        """Take over the bundle that a peer has in force, if it is newer.

        Raises
        ------
        BundleError
            Where its signatures or content are wrong.
        """
        bundle = verify_bundle(signed, self._trusted)
        if bundle.version <= self.version:
            return False
        self._put_in_force(bundle, signed, offset)
        self._replay_early()
        return True

    def snapshot(self) -> Snapshot | None:
        """Return a sealed snapshot to be appended, or None before the first."""
        if self.signed is None:
            return None
        seal = self._seal(self.signed, self.offset, self.as_of)
        return Snapshot(self.signed, self.offset, self.as_of, seal)

    def _apply_snapshot(self, record: StoredRecord) -> None:
        try:
            found = msgspec.convert(record.body, Snapshot)
        except msgspec.ValidationError:
            return
        seal = self._seal(found.signed, found.in_force_since, found.as_of)
        if not hmac.compare_digest(seal, found.seal):
            return
        try:
            self.adopt(found.in_force_since, found.signed)
        except BundleError:
            return
        self._base_known = True
        self._replay_early()

    def _apply_bundle(self, record: StoredRecord) -> None:
        if record.id in self.publish_results:
            return
        if not self._base_known:
            self._early.append(record)
            return
        self._judge(record)

    def _judge(self, record: StoredRecord) -> None:
        """Accept or refuse a published bundle."""
        if record.offset <= self.offset:
            return
        try:
            signed = msgspec.convert(record.body, SignedBundle)
            bundle = verify_bundle(signed, self._trusted)
        except (msgspec.ValidationError, BundleError) as exc:
            code = getattr(exc, "code", "bad_bundle")
            self._note(record, PublishResult(False, 0, record.offset, code, str(exc)))
            return
        if bundle.parent != self.version:
            reason = (
                f"its parent is version {bundle.parent}, but {self.version} is in "
                "force; base a new bundle on that one"
            )
            verdict = PublishResult(
                False, bundle.version, record.offset, "stale_parent", reason
            )
            self._note(record, verdict)
            return
        self._put_in_force(bundle, signed, record.offset)
        self._note(record, PublishResult(True, bundle.version, record.offset))

    def _put_in_force(self, bundle: Bundle, signed: SignedBundle, offset: int) -> None:
        self.bundle, self.signed, self.offset = bundle, signed, offset
        self._base_known = True

    def _replay_early(self) -> None:
        early, self._early = self._early, []
        for record in early:
            self._judge(record)

    def _note(self, record: StoredRecord, verdict: PublishResult) -> None:
        self.publish_results[record.id] = verdict
        while len(self.publish_results) > MAX_VERDICTS:
            del self.publish_results[next(iter(self.publish_results))]

    def _seal(self, signed: SignedBundle, since: int, as_of: int) -> str:
        text: Any = msgspec.json.encode([signed, since, as_of])
        return hmac.new(self._key, text, hashlib.sha256).hexdigest()


__all__ = [
    "BUNDLE_STREAM",
    "SNAPSHOT_STREAM",
    "BundleProjection",
    "PublishResult",
    "Snapshot",
]
