"""The operators' policy bundle: its schema, validation and signatures."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Annotated, Literal

import msgspec
from msgspec import Meta, Struct
from nacl.exceptions import BadSignatureError
from nacl.signing import SigningKey, VerifyKey

from ..errors import BundleError
from .shape import Shape

if TYPE_CHECKING:
    from collections.abc import Mapping

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]


class Guarantee(Struct, frozen=True, forbid_unknown_fields=True):
    """A shape that is guaranteed to a workspace, `count` times.

    Other workspaces may use the resources meanwhile, but lose them on demand.
    """

    workspace: Name
    shape: Shape
    count: Annotated[int, Meta(ge=1, le=10_000)] = 1


class WorkspaceLimits(Struct, frozen=True, forbid_unknown_fields=True):
    """Fair-share weight of a workspace beyond its guarantees, and its queue limit."""

    workspace: Name
    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    max_waiting: Annotated[int, Meta(ge=1)] = 10_000


class ZonePolicy(Struct, frozen=True, forbid_unknown_fields=True):
    """How an availability zone is emptied and taken back into service.

    Attributes
    ----------
    grace_s : float
        Grace period within which the zone's jobs are stopped.
    gangs : str
        Whether gangs are stopped before or after other jobs.
    may_cut : bool
        Whether jobs that are not idempotent are stopped when the grace period is over;
        otherwise they run to their end.
    returns_per_s : float
        Maximum rate of starts in a zone that has just returned to service.
    """

    availability_zone: Name
    state: Literal["in", "out"] = "in"
    grace_s: Annotated[float, Meta(ge=0, le=3600)] = 10.0
    gangs: Literal["first", "last"] = "first"
    may_cut: bool = True
    returns_per_s: Annotated[float, Meta(gt=0)] = 20.0


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """Pool-wide limits of the policy.

    Attributes
    ----------
    reclaim_grace_s : float
        Grace period for a checkpoint of jobs that are stopped to reclaim resources.
    urgent_grace_s : float
        The same if an urgent job reclaims them.
    preempt_after_s : float
        Waiting time after which a job may preempt jobs that rank lower.
    quarantine_failures : int
        Number of failures after which an upstream is quarantined.
    """

    reclaim_grace_s: Annotated[float, Meta(ge=0, le=600)] = 3.0
    urgent_grace_s: Annotated[float, Meta(ge=0, le=10)] = 0.3
    preempt_after_s: Annotated[float, Meta(ge=0)] = 60.0
    quarantine_failures: Annotated[int, Meta(ge=1)] = 3


class Bundle(Struct, frozen=True, forbid_unknown_fields=True):
    """One version of the operators' policy.

    `parent` is the version that it is based on, always the one before.
    """

    version: Annotated[int, Meta(ge=1)]
    parent: Annotated[int, Meta(ge=0)]
    note: str = ""
    guarantees: list[Guarantee] = []
    workspaces: list[WorkspaceLimits] = []
    availability_zones: list[ZonePolicy] = []
    limits: Limits = Limits()

    def zone_policy(self, name: str) -> ZonePolicy:
        """Return the policy of an availability zone, or the default one."""
        for policy in self.availability_zones:
            if policy.availability_zone == name:
                return policy
        return ZonePolicy(availability_zone=name)

    @property
    def zones_out(self) -> frozenset[str]:
        """Availability zones that are taken out of service."""
        return frozenset(
            zone.availability_zone
            for zone in self.availability_zones
            if zone.state == "out"
        )


class Signature(Struct, frozen=True, forbid_unknown_fields=True):
    """A person's Ed25519 signature in hexadecimal."""

    person: str
    signature: Annotated[str, Meta(pattern=r"^[0-9a-f]{128}$")]


class SignedBundle(Struct, frozen=True, forbid_unknown_fields=True):
    """A bundle's exact text with the signatures of its author and approver."""

    content: str
    author: Signature
    approver: Signature | None = None

    @property
    def digest(self) -> str:
        """SHA-256 of the content; distinguishes bundles of the same version."""
        return hashlib.sha256(self.content.encode()).hexdigest()


EMPTY_BUNDLE = Bundle(version=1, parent=0)


def parse_bundle(raw: bytes | str) -> Bundle:
    """Parse and validate a bundle's JSON text.

    Raises
    ------
    BundleError
        If a field is unknown, missing, of a wrong type or out of range, or if the
        version does not follow the parent's.
    """
    try:
        bundle = msgspec.json.decode(raw, type=Bundle)
    except msgspec.DecodeError as exc:
        text, _, path = str(exc).partition(" - at `$")
        raise BundleError(
            text,
            field=path.strip("`.") or "(top level)",
            remedy="correct the bundle; see docs/reference/bundle.md",
        ) from exc
    if bundle.version != bundle.parent + 1:
        raise BundleError(
            f"version {bundle.version} does not follow parent {bundle.parent}",
            field="version",
            remedy=f"write version {bundle.parent + 1}",
        )
    return bundle


def parse_signed_bundle(raw: bytes | str) -> SignedBundle:
    """Parse a signed bundle; `verify_bundle` checks its signatures and content."""
    try:
        return msgspec.json.decode(raw, type=SignedBundle)
    except msgspec.DecodeError as exc:
        raise BundleError(
            f"not a signed bundle: {exc}",
            remedy="sign it with 'hyssoprill bundle sign'",
        ) from exc


def sign_bundle(content: str, person: str, key: SigningKey) -> Signature:
    """Sign a bundle's text with a person's key."""
    return Signature(person, key.sign(content.encode()).signature.hex())


def verify_bundle(signed: SignedBundle, trusted: Mapping[str, str]) -> Bundle:
    """Verify both signatures and validate the content of a signed bundle.

    Parameters
    ----------
    signed : SignedBundle
        The bundle as published.
    trusted : mapping of str to str
        Public keys in hexadecimal, by person.

    Returns
    -------
    Bundle
        The parsed content.

    Raises
    ------
    BundleError
        If a signature is missing, invalid or of an unknown person, if author and
        approver are the same person or use the same key, or if the content is invalid.
    """
    if signed.approver is None:
        raise BundleError(
            "the bundle has no approver",
            code="not_approved",
            remedy="let a second person run 'hyssoprill bundle sign'",
        )
    if signed.author.person == signed.approver.person:
        raise BundleError(
            f"{signed.author.person!r} is both author and approver",
            code="not_approved",
            remedy="let a second person approve it",
        )
    keys = [_check_signature(signed, s, trusted) for s in _signatures(signed)]
    if keys[0] == keys[1]:
        raise BundleError(
            "author and approver signed with the same key",
            code="not_approved",
            remedy="give each person a key of their own",
        )
    return parse_bundle(signed.content)


def _signatures(signed: SignedBundle) -> list[Signature]:
    """Return the signatures of the author and, if there is one, of the approver."""
    return [signed.author, signed.approver] if signed.approver else [signed.author]


def _check_signature(
    signed: SignedBundle, signature: Signature, trusted: Mapping[str, str]
) -> str:
    """Verify a signature and return the public key that it was made with."""
    public_key = trusted.get(signature.person)
    if public_key is None:
        raise BundleError(
            f"no trusted key for {signature.person!r}",
            code="untrusted_signer",
            remedy="add the key to 'trusted_keys' of all settings",
        )
    try:
        VerifyKey(bytes.fromhex(public_key)).verify(
            signed.content.encode(), bytes.fromhex(signature.signature)
        )
    except BadSignatureError as exc:
        raise BundleError(
            f"the signature of {signature.person!r} does not match",
            code="bad_signature",
            remedy="sign the bundle again after each change",
        ) from exc
    return public_key


__all__ = [
    "EMPTY_BUNDLE",
    "Bundle",
    "Guarantee",
    "Limits",
    "Signature",
    "SignedBundle",
    "WorkspaceLimits",
    "ZonePolicy",
    "parse_bundle",
    "parse_signed_bundle",
    "sign_bundle",
    "verify_bundle",
]
