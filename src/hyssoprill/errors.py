"""Error hierarchy: each error has a code, a message and a remedy."""

from __future__ import annotations


class HyssoprillError(Exception):
    """Base of all errors that the project raises on purpose.

    Parameters
    ----------
    message : str
        What was found.
    remedy : str
        What the reader can do about it.
    code : str, optional
        Stable identifier, in place of the one of the class.
    field : str, optional
        Path of the offending field of the input.
    """

    code = "internal"
    http_status = 500

    def __init__(
        self, message: str, *, remedy: str = "", code: str = "", field: str = ""
    ) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy
        self.field = field
        if code:
            self.code = code

    def __str__(self) -> str:
        where = f"{self.field}: " if self.field else ""
        remedy = f"; {self.remedy}" if self.remedy else ""
        return f"{where}{self.message}{remedy}"


class SettingsError(HyssoprillError):
    """A settings file cannot be used."""

    code = "bad_settings"


class InvalidRequestError(HyssoprillError):
    """A caller's request is malformed or can never be served."""

    code = "invalid_request"
    http_status = 400


class JobTooLargeError(InvalidRequestError):
    """A job is too large to be stored; it was not accepted."""

    code = "job_too_large"
    http_status = 413


class UnservedError(HyssoprillError):
    """A request asks for something that is not served here; it was not accepted."""

    code = "not_served"
    http_status = 503


class NeverFitsError(UnservedError):
    """A task is larger than every upstream; the job was not accepted."""

    code = "never_fits"


class AccessError(HyssoprillError):
    """A token, key or signature is missing or wrong."""

    code = "access_denied"
    http_status = 401


class FrameError(HyssoprillError):
    """A frame on the internal port cannot be opened or decoded."""

    code = "bad_frame"


class BundleError(HyssoprillError):
    """A bundle is malformed, lacks valid signatures or does not fit."""

    code = "bad_bundle"
    http_status = 400


class LogUnavailableError(HyssoprillError):
    """The platform's log is unavailable."""

    code = "log_unavailable"
    http_status = 503


class StoreError(HyssoprillError):
    """The store did not do what was asked."""

    code = "store_error"
    http_status = 503


class StoreRefusedError(StoreError):
    """The store refused a call and did nothing."""

    code = "store_refused"


class StoreRejectedError(StoreRefusedError):
    """The store refused a call as invalid; a repeat would be refused as well."""

    code = "store_rejected"


class StoreInDoubtError(StoreError):
    """No usable answer came; the call may have been or may yet be carried out."""

    code = "store_in_doubt"
    http_status = 504


class StoreMovedError(StoreError):
    """The end of the topic is not at the expected offset."""

    code = "store_moved"


class StoreFencedError(StoreError):
    """A writer with a higher term has already written."""

    code = "store_fenced"


class StoreHistoryLostError(StoreError):
    """The records asked for are no longer kept."""

    code = "store_history_lost"


class UpstreamError(HyssoprillError):
    """A call to an upstream failed."""

    code = "upstream_error"


class UpstreamGoneError(UpstreamError):
    """Another instance of the upstream answered the call."""

    code = "upstream_gone"


class UpstreamSilentError(UpstreamError):
    """No usable answer came; the call may yet be carried out."""

    code = "upstream_silent"


class UpstreamBrokenOffError(UpstreamSilentError):
    """The upstream closed the connection before its answer was complete."""


class UpstreamFencedError(UpstreamSilentError):
    """The upstream has seen a higher term and did nothing."""


class UpstreamUnreachedError(UpstreamSilentError):
    """No connection to an upstream was made, so that nothing was sent."""


class UpstreamNotListeningError(UpstreamUnreachedError):
    """The upstream's VM answered that nothing listens at the upstream's address."""


class WorkerError(HyssoprillError):
    """The worker refused an operation or gave an unusable answer."""

    code = "worker_error"


class WorkerRefusedError(WorkerError):
    """The worker refused an operation and did nothing."""

    code = "worker_refused"


__all__ = [
    "AccessError",
    "BundleError",
    "FrameError",
    "HyssoprillError",
    "InvalidRequestError",
    "JobTooLargeError",
    "LogUnavailableError",
    "SettingsError",
    "StoreError",
    "StoreFencedError",
    "StoreHistoryLostError",
    "StoreInDoubtError",
    "StoreMovedError",
    "StoreRefusedError",
    "StoreRejectedError",
    "UnservedError",
    "UpstreamBrokenOffError",
    "UpstreamError",
    "UpstreamGoneError",
    "UpstreamSilentError",
    "UpstreamUnreachedError",
    "WorkerError",
    "WorkerRefusedError",
]
