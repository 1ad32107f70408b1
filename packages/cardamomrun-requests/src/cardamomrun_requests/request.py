"""A client's request: its head, and its body as it arrives."""

import hashlib
import re
import secrets
from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from cardamomrun_base import headers as names
from cardamomrun_requests.body_channel import BodyChannel
from cardamomrun_requests.client_memory import ConnectionAccount, Held

__all__ = [
    "MAX_RESENDABLE_BYTES",
    "MEMORY_KIND",
    "MEMORY_REASON",
    "MEMORY_REMEDY",
    "BodyTooLargeError",
    "ClientRequest",
    "NoBodyMemoryError",
    "RequestBody",
]

# Bodies up to this size can be resent, and are hashed completely.
MAX_RESENDABLE_BYTES = 65_536
# The error of a request that there is no memory for.
MEMORY_KIND = "memory"
MEMORY_REASON = "The memory for clients is used up."
MEMORY_REMEDY = "send it again later"
REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")


class BodyTooLargeError(Exception):
    """The body is larger than the route allows."""


class NoBodyMemoryError(Exception):
    """The memory for bodies is used up; nothing of this one went to a server."""


class RequestBody:
    """The body of a request; its start is buffered until more of it is read.

    `length` is the length in bytes, or None while it is unknown.
    """

    def __init__(
        self,
        channel: BodyChannel,
        length: int | None,
        buffer_bytes: int = MAX_RESENDABLE_BYTES,
        account: ConnectionAccount | None = None,
    ) -> None:
        self._account = account
        # Read beyond `buffer_bytes`, and returned by the next `read_chunk`.
        self._surplus = b""
        self._buffer_bytes = buffer_bytes
        self.length = length
        self.max_bytes = 0
        self._channel = channel
        self._buffered = b""
        self._prefix = b""
        self._read_bytes = 0
        self._resendable = True

    @property
    def prefix(self) -> bytes:
        """The first `buffer_bytes`, once `read_prefix` has returned."""
        return self._prefix

    @property
    def resendable(self) -> bool:
        """True while the body can be sent from its start."""
        return self._resendable

    @property
    def is_buffered(self) -> bool:
        """True if the complete body is buffered, so that several servers can get it.

        Otherwise what one of them reads beyond the buffered start, or the end that it
        finds there, is missing for the others.
        """
        return self._resendable and not self._surplus and self._channel.ended

    async def read_prefix(self) -> None:
        """Buffer the body up to its end or the first `buffer_bytes`.

        Raises `BodyTooLargeError` if it exceeds `max_bytes`, and `NoBodyMemoryError`.
        """
        if self.length is not None and self.length > self.max_bytes:
            raise BodyTooLargeError
        buffered = bytearray()
        while len(buffered) < self._buffer_bytes:
            chunk = await self._next_chunk()
            if chunk is None:
                self.length = len(buffered)
                break
            buffered += chunk
            if self._account is not None and not self._account.may_buffer(
                len(buffered)
            ):
                self._account.refuse()
                raise NoBodyMemoryError
        # One object for both, so that long bodies aren't held twice.
        self._surplus = bytes(buffered[self._buffer_bytes :])
        del buffered[self._buffer_bytes :]
        self._buffered = self._prefix = bytes(buffered)

    def buffered_start(self) -> bytes:
        """Return the buffered start of the body, to be sent with the head."""
        return self._buffered

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk after `first`, or None at the end."""
        chunk: bytes | None
        if self._surplus:
            chunk, self._surplus = self._surplus, b""
        else:
            chunk = await self._next_chunk()
        if chunk is not None:
            self._resendable = False
            self._buffered = b""
        return chunk

    def discard(self) -> None:
        """Discard what has not been read yet, and free what is buffered."""
        self._channel.discard()
        self._buffered = self._prefix = self._surplus = b""
        if self._account is not None:
            self._account.hold(Held.BODY, 0)

    @property
    def ended(self) -> bool:
        """True once the complete body was read or the client disconnected."""
        return self._channel.ended

    async def wait_ended(self) -> None:
        """Wait until the client has sent the complete body or disconnected."""
        await self._channel.wait_ended()

    async def _next_chunk(self) -> bytes | None:
        chunk = await self._channel.get()
        self._read_bytes += len(chunk or b"")
        if self._read_bytes > self.max_bytes:
            raise BodyTooLargeError
        return chunk


@dataclass(frozen=True)
class ClientRequest:
    """A request as the client sent it."""

    method: str
    target: str
    version: str
    # May contain a key, so no representation shows them.
    headers: HTTPHeaders = field(repr=False)
    body: RequestBody
    remote_ip: str
    request_id: str

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """The query without the question mark."""
        return self.target.partition("?")[2]

    def customer(self, header: str) -> str:
        """Return the customer that `header` names, or an empty string."""
        return self.headers.get(header, "")

    def request_hash(self) -> str:
        """Return the hash that detects an idempotency key reused for another request."""
        return hash_parts(self.method, self.path, self.query, self.body.prefix)

    def fingerprint(self, environment: str, customer: str) -> str:
        """Return the hash that identifies resends of a request that crashes servers."""
        key = self.headers.get(names.IDEMPOTENCY_KEY)
        scope = (environment, self.method, self.path, self.query, customer)
        if key is not None:
            return hash_parts(*scope, "key", key)
        return hash_parts(*scope, "body", self.body.prefix)


def hash_parts(*parts: str | bytes) -> str:
    """Return the SHA-256 of the parts in hexadecimal, each preceded by its length.

    >>> hash_parts("a", "bc") == hash_parts("ab", "c")
    False
    """
    digest = hashlib.sha256()
    for part in parts:
        data = (
            part.encode("utf-8", "surrogateescape") if isinstance(part, str) else part
        )
        digest.update(len(data).to_bytes(8, "big"))
        digest.update(data)
    return digest.hexdigest()


def request_id_or_new(headers: HTTPHeaders) -> str:
    """Return the client's request id if it is well formed, or a new one."""
    given = headers.get(names.REQUEST_ID, "")
    return given if REQUEST_ID.fullmatch(given) else secrets.token_hex(8)
