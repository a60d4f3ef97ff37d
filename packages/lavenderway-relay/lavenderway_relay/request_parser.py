"""Parses the requests of one connection, and checks their sizes."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

import httptools

from lavenderway_relay.request_reader import RequestReader

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_relay.model import Limits


class RefusedInputError(Exception):
    """The input is malformed, or exceeds a size limit.

    Args:
        status: Status code of the refusal.

    """

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status


class RequestHandler(Protocol):
    """Receives the requests of a connection."""

    def begin_request(self) -> None:
        """Handle the begin of a request."""

    def complete_head(self, reader: RequestReader) -> None:
        """Handle the end of a request head."""

    def complete_request(
        self, reader: RequestReader, method: bytes, *, keep_alive: bool
    ) -> None:
        """Handle a complete request."""


class RequestParser:
    """Parser of the requests that one connection receives.

    Args:
        handler: Receives the requests.
        limits: Returns the present size limits.
        get_time: Returns the event loop time, in seconds.

    Attributes:
        reader: The request that has been received in part; None without one.
        message_since: When the request head being read began, or reading resumed, in
            event loop seconds; None if no head is being read.

    """

    __slots__ = (
        "_get_time",
        "_handler",
        "_limits",
        "_max_body_bytes",
        "_message_completed",
        "_parser",
        "_refusal_status",
        "message_since",
        "reader",
    )

    def __init__(
        self,
        *,
        handler: RequestHandler,
        limits: Callable[[], Limits],
        get_time: Callable[[], float],
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._get_time = get_time
        self._parser = httptools.HttpRequestParser(self)
        self._message_completed = False
        self._max_body_bytes = 0  # of the present limits, as parsing begins
        self._refusal_status: HTTPStatus | None = None
        self.reader: RequestReader | None = None
        self.message_since: float | None = None

    @property
    def in_body(self) -> bool:
        """Whether the head of the present request is complete, but not its body."""
        return self.reader is not None and self.reader.in_body

    @property
    def expected_body_bytes(self) -> int:
        """Bytes that are left of a body of announced length; 0 for others."""
        return 0 if self.reader is None else self.reader.expected_body_bytes

    @property
    def held_bytes(self) -> int:
        """Memory of the request that has been received in part; 0 without one."""
        return 0 if self.reader is None else self.reader.held_bytes

    def drop_unfinished(self) -> bool:
        """Forget an incomplete request; return whether there was one."""
        had_reader = self.reader is not None
        self.reader = None
        self.message_since = None
        return had_reader

    def feed(self, data: bytes | memoryview) -> int:
        """Parse received bytes.

        Returns:
            How many of them belong to the request that is now being received; framing
            between the bytes of a body does not count.

        Raises:
            RefusedInputError: The input is malformed or exceeds a limit.

        """
        self._message_completed = False
        self._max_body_bytes = self._limits().body_bytes
        reader = self.reader
        in_body = reader is not None and reader.in_body
        body_bytes = 0 if reader is None else reader.body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise RefusedInputError(HTTPStatus.BAD_REQUEST) from error
        except httptools.HttpParserError as error:
            status = self._refusal_status or HTTPStatus.BAD_REQUEST
            raise RefusedInputError(status) from error
        if self.reader is None:
            return 0
        progress_bytes = len(data)
        if in_body and self.reader is reader:
            progress_bytes = self.reader.body_bytes - body_bytes
            framing_bytes = len(data) - progress_bytes
            if self.reader.add_framing(framing_bytes, self._limits()):
                raise RefusedInputError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        # Behind a complete request, the length of the begun head is not known.
        if (
            self.message_since is not None
            and not self._message_completed
            and self.reader.add_partial_head(len(data), self._limits())
        ):
            raise RefusedInputError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        return progress_bytes

    def on_message_begin(self) -> None:
        """Begin a new request."""
        self.reader = RequestReader()
        self.message_since = self._get_time()
        self._handler.begin_request()

    def on_url(self, url: bytes) -> None:
        """Append a fragment of the request target."""
        if self.reader is not None:
            self.reader.add_target(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if self.reader is not None:
            self.reader.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the size of the head."""
        self.message_since = None
        if self.reader is not None:
            self._check(self.reader.complete_head(self._limits()))
            self._handler.complete_head(self.reader)

    def on_body(self, body: bytes) -> None:
        """Append a fragment of the body, up to the size limit.

        Runs for each chunk, of which a read may hold more than 40,000.
        """
        reader = self.reader
        if reader is not None and reader.add_body(body) > self._max_body_bytes:
            self._check(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Deliver the complete request, unless it was refused meanwhile."""
        reader = self.reader
        self.reader = None
        self._message_completed = True
        if reader is not None:
            self._handler.complete_request(
                reader,
                self._parser.get_method(),
                keep_alive=self._parser.should_keep_alive(),
            )

    def _check(self, status: HTTPStatus | None) -> None:
        """Make the parser stop if a limit is exceeded."""
        if status is not None:
            self._refusal_status = status
            raise httptools.HttpParserError(status.phrase)
