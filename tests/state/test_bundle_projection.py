"""State machine: all readers of the log agree on the bundle in force."""

from __future__ import annotations

import json
from typing import Any

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from standins.local_cluster import CLUSTER_KEY, public_keys, signed_bundle

from hyssoprill.protocol.bundle import SignedBundle
from hyssoprill.state.bundle_projection import (
    BUNDLE_STREAM,
    SNAPSHOT_STREAM,
    BundleProjection,
)
from hyssoprill.transport.platform_log import StoredRecord

TRUSTED = {one["person"]: one["public_key"] for one in public_keys()}


class BundleFoldMachine(RuleBasedStateMachine):
    """Operators race, answers are lost, the log forgets, entries are replaced."""

    def __init__(self) -> None:
        super().__init__()
        self.log: list[StoredRecord] = []
        self.first = 0
        self.oracle = self.new_fold(0)
        self.readers = [(self.new_fold(0), 0), (self.new_fold(0), 0)]
        self.highest = [0, 0]

    def new_fold(self, first: int) -> BundleProjection:
        fold = BundleProjection(TRUSTED, CLUSTER_KEY)
        fold.set_first_offset(first)
        return fold

    def append(self, record_id: str, stream: str, body: Any) -> None:
        record = StoredRecord(len(self.log), record_id, stream, body)
        self.log.append(record)
        self.oracle.apply(record)

    @rule(behind=st.integers(-1, 2), note=st.integers(0, 1000))
    def publish(self, behind: int, note: int) -> None:
        parent = max(self.oracle.version - behind, 0)
        bundle = {"version": parent + 1, "parent": parent, "note": str(note)}
        self.append(f"b{len(self.log)}", BUNDLE_STREAM, signed_bundle(bundle))

    @rule()
    def publish_again(self) -> None:
        """An append is repeated after its answer was lost."""
        bundles = [one for one in self.log if one.stream == BUNDLE_STREAM]
        if bundles:
            self.append(bundles[-1].id, BUNDLE_STREAM, bundles[-1].body)

    @rule(signer=st.sampled_from(["alice", "mallory"]))
    def publish_forged(self, signer: str) -> None:
        version = self.oracle.version
        body = signed_bundle({"version": version + 1, "parent": version})
        body["approver"] = {**body["author"], "person": signer}
        self.append(f"b{len(self.log)}", BUNDLE_STREAM, body)

    @rule(index=st.integers(0, 1))
    def snapshot(self, index: int) -> None:
        fold, _ = self.readers[index]
        found = fold.snapshot()
        if found is not None:
            body = json.loads(msgspec.json.encode(found))
            self.append(f"s{len(self.log)}", SNAPSHOT_STREAM, body)

    @rule()
    def forget(self) -> None:
        """The log drops what is older than a snapshot of the newest bundle."""
        for record in reversed(self.log):
            if record.stream == SNAPSHOT_STREAM:
                if record.body["as_of"] >= self.oracle.offset:
                    self.first = max(self.first, record.offset)
                return

    @rule(index=st.integers(0, 1), count=st.integers(1, 5))
    def read(self, index: int, count: int) -> None:
        fold, position = self.readers[index]
        position = max(position, self.first)
        for record in self.log[position : position + count]:
            fold.apply(record)
        self.readers[index] = (fold, min(position + count, len(self.log)))

    @rule(index=st.integers(0, 1))
    def replace(self, index: int) -> None:
        self.readers[index] = (self.new_fold(self.first), self.first)
        self.highest[index] = 0

    @rule(index=st.integers(0, 1))
    def hear_from_peer(self, index: int) -> None:
        fold, _ = self.readers[index]
        other, _ = self.readers[1 - index]
        if other.signed is not None:
            fold.adopt(other.offset, other.signed)

    @invariant()
    def versions_never_revert(self) -> None:
        for index, (fold, _) in enumerate(self.readers):
            assert fold.version >= self.highest[index]
            self.highest[index] = fold.version

    @invariant()
    def readers_agree(self) -> None:
        accepted = {self.oracle.version: self.oracle.signed}
        for fold, position in self.readers:
            assert fold.version <= self.oracle.version
            if fold.version in accepted and fold.version:
                assert fold.signed.digest == accepted[fold.version].digest
            if position >= len(self.log) > self.first:
                assert fold.version == self.oracle.version


TestBundleFoldMachine = BundleFoldMachine.TestCase


def test_bundle_of_one_signer_is_refused() -> None:
    fold = BundleProjection(TRUSTED, CLUSTER_KEY)
    fold.set_first_offset(0)
    body = signed_bundle({"version": 1, "parent": 0})
    body["approver"] = body["author"]
    fold.apply(StoredRecord(0, "one", BUNDLE_STREAM, body))
    assert fold.version == 0
    assert fold.publish_results["one"].code == "not_approved"
    assert isinstance(msgspec.convert(body, SignedBundle), SignedBundle)
