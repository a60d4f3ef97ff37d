"""Links of a node to its peers: connection set-up and message dispatch.

A link to a peer is opened when the first message for the peer is sent. Messages wait
in a bounded queue until the link is authenticated.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

from lavenderway_core.effects import Component, Log
from lavenderway_core.events import (
    AttemptLinkLost,
    AttemptRefused,
    ControlFailed,
    ControlReceived,
    JobArrived,
    JobSpec,
    ResponseEnded,
    ResponseStarted,
)
from lavenderway_core.ids import HostId, JobId, RootId
from lavenderway_core.messages import (
    ControlMessage,
    Envelope,
    GossipReply,
    GossipRequest,
    StatusReply,
    StatusRequest,
    TokenReply,
    TokenRequest,
)
from lavenderway_core.refusal import REASONS_BY_LABEL, Reason, Refusal

from lavenderway_node import executors
from lavenderway_node.clock import read_clock
from lavenderway_node.exchange import ForwardedRequest, ResponsePart, ResponseStart
from lavenderway_node.frames import (
    AttemptBody,
    AttemptCancel,
    AttemptOpen,
    ExplainReply,
    ExplainRequest,
    ResponseAck,
    ResponseBody,
    ResponseHead,
    ResponseRefused,
)
from lavenderway_node.link import Identity, Link, LinkPhase
from lavenderway_node.sinks import LinkSink

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_node.node import Node
    from lavenderway_node.settings import Address

CONTROL_REPLY_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
MAX_BODY_PART_BYTES = 256 * 1024
MAX_QUEUED_PER_LINK = 2000


class QueuedAttempt(NamedTuple):
    """An attempt that waits until the link to its peer is authenticated."""

    job: JobId
    spec: JobSpec
    forwarded: ForwardedRequest


class QueuedControl(NamedTuple):
    """A control message that waits until the link to its peer is authenticated."""

    message: tuple[Any, ...]


class OutstandingRequest(NamedTuple):
    """A control request whose reply has not been received yet."""

    peer: HostId
    sent_at: float
    timer: asyncio.TimerHandle


class _PendingLink:
    """A link that is being opened, with the messages queued for it."""

    def __init__(self) -> None:
        self.queue: list[QueuedAttempt | QueuedControl] = []


class Links:
    """Opens and accepts links, and dispatches the messages they carry.

    Args:
        node: Node that owns the links.
        identity: Identity of this node towards its peers.

    """

    def __init__(self, *, node: Node, identity: Identity) -> None:
        self._node = node
        self._identity = identity
        self._authenticated_links: dict[HostId, Link] = {}
        self._open_links: set[Link] = set()
        self._pending_links: dict[str, _PendingLink] = {}
        self._addresses_by_link: dict[Link, str] = {}
        self._sent_attempts: dict[JobId, Link] = {}
        self._streaming_attempts: set[JobId] = set()
        self._outstanding_requests: dict[int, OutstandingRequest] = {}
        self._explain_replies: dict[int, asyncio.Future[ExplainReply]] = {}
        self._incomplete_attempts: dict[JobId, tuple[AttemptOpen, list[bytes]]] = {}
        self._server: asyncio.Server | None = None
        self._last_explain_number = 0

    async def open(self, address: Address) -> None:
        """Start listening for peers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, address.ip, address.port, reuse_address=True
        )

    async def close(self) -> None:
        """Close the listener and all open links."""
        if self._server is not None:
            self._server.close()
        for link in list(self._open_links):
            link.close()

    def send_attempt(
        self, peer: HostId, job: JobId, spec: JobSpec, forwarded: ForwardedRequest
    ) -> None:
        """Send an attempt, opening a link to the peer if there is none."""
        link = self._authenticated_links.get(peer)
        if link is not None:
            self._send_attempt_over(link, QueuedAttempt(job, spec, forwarded))
            return
        record = self._node.state.members.records.get(peer)
        if record is None:
            self._report_lost_attempt(job, sent=False)
            return
        self._enqueue(peer, record.address, QueuedAttempt(job, spec, forwarded))

    def cancel_attempt(self, job: JobId) -> None:
        """Tell the peer that received an attempt to cancel it."""
        link = self._sent_attempts.pop(job, None)
        self._streaming_attempts.discard(job)
        if link is not None:
            link.send(AttemptCancel(job))

    def send_control(self, peer: HostId, address: str, message: ControlMessage) -> None:
        """Send a control message, opening a link to the peer if there is none."""
        if isinstance(message, GossipRequest | TokenRequest | StatusRequest):
            self._start_reply_timer(peer, message.request_number)
        link = self._authenticated_links.get(peer)
        if link is not None:
            link.send(message)
            return
        self._enqueue(peer, address, QueuedControl(message))

    async def explain(self, peer: HostId, root: RootId) -> ExplainReply:
        """Request a peer's log records about a root request.

        Raises:
            TimeoutError: The peer is unknown or did not reply in time.

        """
        self._last_explain_number += 1
        request_number = self._last_explain_number
        loop = asyncio.get_running_loop()
        future: asyncio.Future[ExplainReply] = loop.create_future()
        self._explain_replies[request_number] = future
        record = self._node.state.members.records.get(peer)
        request = ExplainRequest(request_number, root)
        link = self._authenticated_links.get(peer)
        if link is not None:
            link.send(request)
        elif record is not None:
            self._enqueue(peer, record.address, QueuedControl(request))
        try:
            return await asyncio.wait_for(future, CONTROL_REPLY_TIMEOUT_S)
        finally:
            self._explain_replies.pop(request_number, None)

    def link_authenticated(self, link: Link) -> None:
        """Send the messages that are queued for the link."""
        assert link.peer is not None
        self._authenticated_links[link.peer] = link
        pending = self._pending_links.pop(self._addresses_by_link.get(link, ""), None)
        for each in pending.queue if pending is not None else []:
            if isinstance(each, QueuedAttempt):
                self._send_attempt_over(link, each)
            else:
                link.send(each.message)

    def link_closed(self, link: Link) -> None:
        """Report the attempts lost with a link; cancel those received over it."""
        self._open_links.discard(link)
        if link.peer is not None and self._authenticated_links.get(link.peer) is link:
            del self._authenticated_links[link.peer]
        address = self._addresses_by_link.pop(link, None)
        if address is not None and address in self._pending_links:
            self._fail_pending_link(address)
        for job in [
            job for job, sent_over in self._sent_attempts.items() if sent_over is link
        ]:
            self._report_lost_attempt(job, sent=True)
        for job in self._node.find_jobs_of_link(link):
            self._node.cancel_job(job)

    def link_rejected(self, link: Link, problem: str) -> None:
        """Count and log a link that was rejected."""
        self._node.metrics.count("links.rejected")
        fields: dict[str, object] = {"peer": link.peer, "problem": problem}
        self._node.execute(Log(Component.MEMBERS, "Rejected a link.", fields))

    def link_message(self, link: Link, message: tuple[Any, ...]) -> None:
        """Dispatch a message to the handler of its type."""
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            handler(self, link, message)
            return
        self._handle_control(link, message)

    def _accept(self) -> Link:
        link = Link(identity=self._identity, owner=self, is_initiator=False)
        self._open_links.add(link)
        return link

    def _enqueue(
        self, peer: HostId, address: str, entry: QueuedAttempt | QueuedControl
    ) -> None:
        pending = self._pending_links.get(address)
        if pending is None:
            pending = self._pending_links[address] = _PendingLink()
            self._node.spawn(self._connect(peer, address))
        if len(pending.queue) < MAX_QUEUED_PER_LINK:
            pending.queue.append(entry)
        elif isinstance(entry, QueuedAttempt):
            self._report_lost_attempt(entry.job, sent=False)

    async def _connect(self, peer: HostId, address: str) -> None:
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()

        def build_link() -> Link:
            expected_host = peer or None  # the host at a seed address is unknown
            link = Link(
                identity=self._identity,
                owner=self,
                is_initiator=True,
                expected_host=expected_host,
            )
            self._open_links.add(link)
            self._addresses_by_link[link] = address
            return link

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(build_link, ip, int(port))
        except (OSError, TimeoutError):
            self._fail_pending_link(address)

    def _fail_pending_link(self, address: str) -> None:
        pending = self._pending_links.pop(address, None)
        for each in pending.queue if pending is not None else []:
            if isinstance(each, QueuedAttempt):
                self._report_lost_attempt(each.job, sent=False)

    def _send_attempt_over(self, link: Link, attempt: QueuedAttempt) -> None:
        body = attempt.forwarded.body
        first, rest = body[:MAX_BODY_PART_BYTES], body[MAX_BODY_PART_BYTES:]
        attempt_open = AttemptOpen(
            attempt.job,
            attempt.spec,
            attempt.forwarded.method,
            attempt.forwarded.target,
            attempt.forwarded.headers,
            first,
            bool(rest),
        )
        if not link.send(attempt_open):
            self._report_lost_attempt(attempt.job, sent=False)
            return
        self._sent_attempts[attempt.job] = link
        for offset in range(0, len(rest), MAX_BODY_PART_BYTES):
            part = rest[offset : offset + MAX_BODY_PART_BYTES]
            link.send(
                AttemptBody(attempt.job, part, offset + MAX_BODY_PART_BYTES < len(rest))
            )

    def _report_lost_attempt(self, job: JobId, *, sent: bool) -> None:
        self._sent_attempts.pop(job, None)
        if job in self._streaming_attempts:
            self._streaming_attempts.discard(job)
            self._node.dispatch(ResponseEnded(job, complete=False))
        else:
            self._node.dispatch(AttemptLinkLost(job, sent=sent))

    def _start_reply_timer(self, peer: HostId, request_number: int) -> None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            CONTROL_REPLY_TIMEOUT_S, self._expire_request, request_number
        )
        self._outstanding_requests[request_number] = OutstandingRequest(
            peer, read_clock(), timer
        )

    def _expire_request(self, request_number: int) -> None:
        outstanding = self._outstanding_requests.pop(request_number, None)
        if outstanding is not None:
            self._node.dispatch(ControlFailed(outstanding.peer, request_number))

    def _handle_control(self, link: Link, message: tuple[Any, ...]) -> None:
        assert link.peer is not None
        requested_at = read_clock()
        if isinstance(message, GossipReply | TokenReply | StatusReply):
            outstanding = self._outstanding_requests.pop(message.request_number, None)
            if outstanding is None:
                return
            outstanding.timer.cancel()
            requested_at = outstanding.sent_at
        envelope = Envelope(link.peer, message)  # type: ignore[arg-type]
        self._node.dispatch(ControlReceived(envelope, requested_at))

    def _handle_attempt_open(self, link: Link, message: AttemptOpen) -> None:
        if message.job.origin != link.peer:
            self.link_rejected(link, "attempt whose origin is not the peer of the link")
            link.close()
            return
        if message.more:
            self._incomplete_attempts[message.job] = (message, [message.body])
            return
        self._start_job(link, message, message.body)

    def _handle_attempt_body(self, link: Link, message: AttemptBody) -> None:
        attempt_open, parts = self._incomplete_attempts.get(message.job, (None, []))
        if attempt_open is None:
            return
        parts.append(message.data)
        if not message.more:
            del self._incomplete_attempts[message.job]
            self._start_job(link, attempt_open, b"".join(parts))

    def _start_job(self, link: Link, attempt_open: AttemptOpen, body: bytes) -> None:
        forwarded = ForwardedRequest(
            attempt_open.method, attempt_open.target, attempt_open.headers, body
        )
        self._node.peer_requests[attempt_open.job] = forwarded
        self._node.sinks[attempt_open.job] = LinkSink(link=link, job=attempt_open.job)
        self._node.dispatch(JobArrived(attempt_open.job, attempt_open.spec))

    def _handle_attempt_cancel(self, link: Link, message: AttemptCancel) -> None:
        self._incomplete_attempts.pop(message.job, None)
        if message.job.origin == link.peer:
            self._node.cancel_job(message.job)

    def _handle_response_head(self, link: Link, message: ResponseHead) -> None:
        if self._sent_attempts.get(message.job) is not link:
            return
        start = ResponseStart(
            message.status,
            message.reason,
            message.headers,
            message.body,
            message.more,
        )
        self._node.dispatch(ResponseStarted(message.job, message.load))
        exchange = self._node.exchanges.get(message.job.exchange)
        if exchange is not None:
            exchange.begin(start, lambda: self._send_ack(message.job))
        if message.more:
            self._streaming_attempts.add(message.job)
            return
        self._sent_attempts.pop(message.job, None)
        self._node.dispatch(ResponseEnded(message.job, complete=True))

    def _handle_response_body(self, link: Link, message: ResponseBody) -> None:
        if self._sent_attempts.get(message.job) is not link:
            return
        exchange = self._node.exchanges.get(message.job.exchange)
        if exchange is not None and not message.broken:
            exchange.push(ResponsePart(message.data, message.more, broken=False))
        if message.more:
            return
        self._sent_attempts.pop(message.job, None)
        self._streaming_attempts.discard(message.job)
        self._node.dispatch(ResponseEnded(message.job, complete=not message.broken))

    def _handle_response_refused(self, link: Link, message: ResponseRefused) -> None:
        if self._sent_attempts.get(message.job) is not link:
            return
        self._sent_attempts.pop(message.job, None)
        refusal = Refusal(
            REASONS_BY_LABEL.get(message.reason, Reason.SHED),
            message.outcome,
            message.retry_after_s,
            message.detail,
        )
        self._node.dispatch(AttemptRefused(message.job, refusal, message.load))

    def _handle_response_ack(self, link: Link, message: ResponseAck) -> None:
        executors.open_response_window(self._node, message)

    def _send_ack(self, job: JobId) -> None:
        link = self._sent_attempts.get(job)
        if link is not None and link.phase is LinkPhase.AUTHENTICATED:
            link.send(ResponseAck(job, 1))

    def _handle_explain_request(self, link: Link, message: ExplainRequest) -> None:
        records = tuple(self._node.logs.find_records(message.root))
        link.send(ExplainReply(message.request_number, records))

    def _handle_explain_reply(self, link: Link, message: ExplainReply) -> None:
        future = self._explain_replies.get(message.request_number)
        if future is not None and not future.done():
            future.set_result(message)


_HANDLERS: dict[type, Callable[[Links, Link, Any], None]] = {
    AttemptOpen: Links._handle_attempt_open,
    AttemptBody: Links._handle_attempt_body,
    AttemptCancel: Links._handle_attempt_cancel,
    ResponseHead: Links._handle_response_head,
    ResponseBody: Links._handle_response_body,
    ResponseRefused: Links._handle_response_refused,
    ResponseAck: Links._handle_response_ack,
    ExplainRequest: Links._handle_explain_request,
    ExplainReply: Links._handle_explain_reply,
}
