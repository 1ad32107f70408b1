"""Typed errors. Each error text ends with its remedy."""

__all__ = [
    "AddressInUseError",
    "CardamomrunError",
    "ConflictError",
    "CredentialError",
    "DocumentError",
    "NotLeaderError",
    "PeerTimeoutError",
    "PeerUnreachableError",
    "SettingsError",
    "StorageError",
    "UnavailableError",
    "UsageError",
]

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_SETTINGS = 3
EXIT_ADDRESS_IN_USE = 4
EXIT_STORAGE = 5
EXIT_REFUSED = 6
EXIT_CONFLICT = 7
EXIT_UNAVAILABLE = 8
EXIT_CREDENTIALS = 9


class CardamomrunError(Exception):
    """Base of all errors raised by cardamomrun.

    `kind` is the stable name in machine-readable output, `remedy` tells the reader
    what to do, and `exit_code` is the exit status of the program.
    """

    kind = "error"
    exit_code = EXIT_FAILURE

    def __init__(self, message: str, *, remedy: str) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        return f"{self.message} Remedy: {self.remedy}"


class UsageError(CardamomrunError):
    """A command was called with invalid arguments."""

    kind = "usage"
    exit_code = EXIT_USAGE


class SettingsError(CardamomrunError):
    """The settings file of a node is unreadable or invalid."""

    kind = "settings"
    exit_code = EXIT_SETTINGS


class DocumentError(CardamomrunError):
    """An environment or routing document is unreadable or invalid."""

    kind = "document"
    exit_code = EXIT_SETTINGS


class AddressInUseError(CardamomrunError):
    """A listener could not be opened."""

    kind = "address-in-use"
    exit_code = EXIT_ADDRESS_IN_USE


class StorageError(CardamomrunError):
    """The data folder cannot be read, written or synced, or holds damaged files."""

    kind = "storage"
    exit_code = EXIT_STORAGE


class CredentialError(CardamomrunError):
    """A key or token is missing, invalid or replayed."""

    kind = "credentials"
    exit_code = EXIT_CREDENTIALS


class ConflictError(CardamomrunError):
    """A change expected another version, or reused a number with other content."""

    kind = "conflict"
    exit_code = EXIT_CONFLICT


class UnavailableError(CardamomrunError):
    """The operation needs a part of the fleet that cannot be reached now."""

    kind = "unavailable"
    exit_code = EXIT_UNAVAILABLE


class NotLeaderError(UnavailableError):
    """The control instance that received the request does not lead.

    `leader_admin_address` is the address of the leader, if known.
    """

    kind = "not-leader"

    def __init__(
        self, message: str, *, remedy: str, leader_admin_address: str | None = None
    ) -> None:
        super().__init__(message, remedy=remedy)
        self.leader_admin_address = leader_admin_address


class PeerUnreachableError(UnavailableError):
    """There is no working link to the peer."""

    kind = "peer-unreachable"


class PeerTimeoutError(UnavailableError):
    """The peer did not answer a message in time."""

    kind = "peer-timeout"
