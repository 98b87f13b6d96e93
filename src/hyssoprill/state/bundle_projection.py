"""Projection of the log onto the policy bundle in force.

A bundle comes into force at its offset if its parent is in force there; otherwise it is
refused. All readers decide alike, as they read the same log. Snapshots preserve the
bundle in force when the log's retention has dropped its record.
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
MAX_PUBLISH_RESULTS = 2000


class PublishResult(Struct, frozen=True):
    """Result of publishing a bundle: accepted, or refused with a reason."""

    accepted: bool
    version: int
    offset: int
    code: str = ""
    reason: str = ""


class Snapshot(Struct, frozen=True):
    """The bundle in force at an offset, authenticated with the cluster key.

    Attributes
    ----------
    in_force_since : int
        Offset at which the bundle came into force.
    as_of : int
        Offset up to which the log was read.
    seal : str
        HMAC of the other fields with the cluster key.
    """

    signed: SignedBundle
    in_force_since: int
    as_of: int
    seal: str


class BundleProjection:
    """The bundle in force, and the results of the bundles published so far.

    Parameters
    ----------
    trusted : mapping of str to str
        Public keys by person.
    cluster_key : str
        Key in hexadecimal that authenticates snapshots.

    Attributes
    ----------
    signed : SignedBundle or None
        The bundle in force with its signatures, None before the first.
    offset : int
        Offset at which that bundle came into force, -1 before the first.
    as_of : int
        Offset up to which the log was read, -1 before the first record.
    publish_results : dict
        The newest results by record id, at most `MAX_PUBLISH_RESULTS`.
    """

    def __init__(self, trusted: Mapping[str, str], cluster_key: str) -> None:
        self._trusted = trusted
        self._key = bytes.fromhex(cluster_key)
        # Whether it is known which bundle was in force at the first record kept. Until
        # then, published bundles are kept in `_deferred`.
        self._base_known = False
        self._deferred: list[StoredRecord] = []
        # Version in force at `as_of`, behind that of a bundle which a peer had earlier;
        # None if records were missed.
        self._read_version: int | None = 0
        self.bundle: Bundle = EMPTY_BUNDLE
        self.signed: SignedBundle | None = None
        self.offset = -1
        self.as_of = -1
        self.publish_results: dict[str, PublishResult] = {}

    @property
    def version(self) -> int:
        """Version of the bundle in force; 0 before the first."""
        return self.bundle.version if self.signed else 0

    def set_first_offset(self, first_offset: int) -> None:
        """Record the oldest offset that the log keeps; called before `apply`.

        If it is 0, no bundle can have been in force before the first record.
        """
        if first_offset == 0:
            self._base_known = True

    def apply(self, record: StoredRecord) -> bool:
        """Apply a record; return whether another bundle came into force."""
        before = self.version
        if record.offset > self.as_of + 1:
            self._read_version = None
        if record.stream == SNAPSHOT_STREAM:
            self._apply_snapshot(record)
        elif record.stream == BUNDLE_STREAM:
            self._apply_bundle(record)
        self.as_of = max(self.as_of, record.offset)
        return self.version != before

    def adopt(self, offset: int, signed: SignedBundle) -> bool:
        """Put the bundle in force that a peer or a snapshot has, if it is newer.

        Parameters
        ----------
        offset : int
            Offset at which the bundle came into force.
        signed : SignedBundle
            The bundle.

        Returns
        -------
        bool
            Whether it was newer.

        Raises
        ------
        BundleError
            If its signatures or its content are invalid.
        """
        bundle = verify_bundle(signed, self._trusted)
        if bundle.version <= self.version:
            return False
        self._put_in_force(bundle, signed, offset)
        self._apply_deferred()
        return True

    def snapshot(self) -> Snapshot | None:
        """Return a snapshot to append to the log, or None before the first bundle."""
        if self.signed is None:
            return None
        seal = self._compute_seal(self.signed, self.offset, self.as_of)
        return Snapshot(self.signed, self.offset, self.as_of, seal)

    def _apply_snapshot(self, record: StoredRecord) -> None:
        """Adopt a snapshot's bundle; ignore invalid snapshots."""
        try:
            found = msgspec.convert(record.body, Snapshot)
        except msgspec.ValidationError:
            return
        seal = self._compute_seal(found.signed, found.in_force_since, found.as_of)
        if not hmac.compare_digest(seal, found.seal):
            return
        try:
            self.adopt(found.in_force_since, found.signed)
        except BundleError:
            return
        self._base_known = True
        self._apply_deferred()

    def _apply_bundle(self, record: StoredRecord) -> None:
        if record.id in self.publish_results:
            return
        if not self._base_known:
            self._deferred.append(record)
            return
        self._decide(record)

    def _decide(self, record: StoredRecord) -> None:
        """Accept or refuse a published bundle, and store the result.

        One that is not newer than the bundle in force, which a peer had earlier,
        changes nothing, but its publisher waits for the result.
        """
        is_newer = record.offset > self.offset
        if is_newer:
            self._read_version = self.version
        if self._read_version is None and record.offset < self.offset:
            return
        try:
            signed = msgspec.convert(record.body, SignedBundle)
            bundle = verify_bundle(signed, self._trusted)
        except (msgspec.ValidationError, BundleError) as exc:
            code = getattr(exc, "code", "bad_bundle")
            self._store(record, PublishResult(False, 0, record.offset, code, str(exc)))
            return
        if record.offset != self.offset and bundle.parent != self._read_version:
            reason = (
                f"its parent is version {bundle.parent}, but {self._read_version} is "
                "in force; base a new bundle on that one"
            )
            result = PublishResult(
                False, bundle.version, record.offset, "stale_parent", reason
            )
            self._store(record, result)
            return
        self._read_version = bundle.version
        if is_newer:
            self._put_in_force(bundle, signed, record.offset)
        self._store(record, PublishResult(True, bundle.version, record.offset))

    def _put_in_force(self, bundle: Bundle, signed: SignedBundle, offset: int) -> None:
        self.bundle, self.signed, self.offset = bundle, signed, offset
        self._base_known = True

    def _apply_deferred(self) -> None:
        """Decide on the bundles that were read before the base was known."""
        deferred, self._deferred = self._deferred, []
        for record in deferred:
            self._decide(record)

    def _store(self, record: StoredRecord, result: PublishResult) -> None:
        self.publish_results[record.id] = result
        while len(self.publish_results) > MAX_PUBLISH_RESULTS:
            del self.publish_results[next(iter(self.publish_results))]

    def _compute_seal(self, signed: SignedBundle, since: int, as_of: int) -> str:
        """Return the HMAC that proves who wrote a snapshot."""
        text: Any = msgspec.json.encode([signed, since, as_of])
        return hmac.new(self._key, text, hashlib.sha256).hexdigest()


__all__ = [
    "BUNDLE_STREAM",
    "SNAPSHOT_STREAM",
    "BundleProjection",
    "PublishResult",
    "Snapshot",
]
