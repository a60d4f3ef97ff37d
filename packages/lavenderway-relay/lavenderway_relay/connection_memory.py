"""Counts the memory of one connection in the ledger of its process.

Designed for connections that send a part of a large request, or that do not read their
responses. Requests and responses have an account each, as they give way differently.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lavenderway_relay.memory_ledger import BUFFER_GROWTH, Account, Purpose

if TYPE_CHECKING:
    from lavenderway_relay.memory_ledger import Holder, MemoryLedger
    from lavenderway_relay.pending_requests import PendingRequests
    from lavenderway_relay.request_parser import RequestParser
    from lavenderway_relay.response_writer import ResponseWriter


class ConnectionMemory:
    """Accounts of one connection; each exists once something was counted in it.

    Args:
        holder: The connection.
        ledger: Ledger of the process.
        parser: Holds the request that is being read.
        pending: The requests that are being served, and their responses.

    Attributes:
        requests: Account of the requests that are being read or served.
        responses: Account of the responses that the client has not read.

    """

    __slots__ = (
        "_clock",
        "_holder",
        "_ledger",
        "_parser",
        "_pending",
        "_unread_bytes",
        "requests",
        "responses",
    )

    def __init__(
        self,
        *,
        holder: Holder,
        ledger: MemoryLedger,
        parser: RequestParser,
        pending: PendingRequests,
    ) -> None:
        self._holder = holder
        self._ledger = ledger
        self._parser = parser
        self._pending = pending
        self._clock = ledger.clock
        self._unread_bytes = 0
        self.requests: Account | None = None
        self.responses: Account | None = None

    @property
    def holds_responses(self) -> bool:
        """Whether bytes of responses are counted."""
        return self.responses is not None and self.responses.held_bytes > 0

    def record_receiving(self, byte_count: int) -> None:
        """Record how much of a request has just arrived."""
        now = self._clock.now
        if self.requests is None:
            self.requests = Account(
                holder=self._holder, purpose=Purpose.REQUEST, now=now
            )
        elif not self.requests.held_bytes:
            self.requests.restart(now)
        self.requests.record_progress(byte_count, now)

    def restart_receiving(self) -> None:
        """Measure the client from now on, as it had to wait for this node."""
        if self.requests is not None:
            self.requests.restart(self._clock.now)

    def count_requests(self, *, waiting: bool = False) -> bool:
        """Count the requests received; return whether there is room for them.

        Args:
            waiting: Whether the rest of the present request is not read yet.

        """
        reader = self._parser.reader
        byte_count = self._pending.request_bytes
        if reader is not None:
            byte_count += reader.held_bytes if waiting else reader.needed_bytes
        if self.requests is None:
            if not byte_count:
                return True
            self.record_receiving(0)
        account = self.requests
        assert account is not None
        account.may_give_way = reader is not None
        now = self._clock.now
        return self._ledger.try_set(account, byte_count, now, waiting=waiting)

    def count_responses(self, writer: ResponseWriter) -> None:
        """Count the responses that wait for earlier ones, or for the client."""
        held_bytes = writer.held_bytes if writer.paused else 0
        byte_count = int((self._pending.response_bytes + held_bytes) * BUFFER_GROWTH)
        now = self._clock.now
        self.record_reading(writer)
        if self.responses is None:
            if not byte_count:
                return
            self.responses = Account(
                holder=self._holder, purpose=Purpose.RESPONSE, now=now
            )
        elif not self.responses.held_bytes:
            self.responses.restart(now)
        self.responses.may_give_way = held_bytes > 0
        self._ledger.set(self.responses, byte_count, now)

    def record_reading(self, writer: ResponseWriter) -> None:
        """Record how much of the responses the client has read since the last call."""
        unread_bytes = writer.unwritten_bytes if writer.paused else 0
        read_bytes = self._unread_bytes - unread_bytes
        if self.responses is not None and read_bytes > 0:
            self.responses.record_progress(read_bytes, self._clock.now)
        self._unread_bytes = unread_bytes

    def close(self) -> None:
        """Give back everything."""
        for account in (self.requests, self.responses):
            if account is not None:
                self._ledger.close(account)
