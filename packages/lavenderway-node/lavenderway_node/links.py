"""All links of a node: dials peers, carries calls, answers and control messages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

from lavenderway_core.effects import Log, Part
from lavenderway_core.events import (
    AttemptAnswered,
    AttemptDone,
    AttemptLost,
    AttemptRefused,
    ControlFailed,
    ControlReceived,
    JobArrived,
    JobSpec,
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
from lavenderway_node.exchange import AnswerPart, AnswerStart, CallInput
from lavenderway_node.frames import (
    AnswerAck,
    AnswerBody,
    AnswerHead,
    AnswerRefused,
    CallBody,
    CallCancel,
    CallOpen,
    ExplainReply,
    ExplainRequest,
)
from lavenderway_node.link import Identity, Link, LinkPhase
from lavenderway_node.sinks import LinkSink

if TYPE_CHECKING:
    from collections.abc import Callable

    from lavenderway_node.node import Node
    from lavenderway_node.settings import Address

CONTROL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
BODY_PART_BYTES = 256 * 1024
MAX_QUEUED = 2000


class PendingCall(NamedTuple):
    """A call that waits for its link."""

    job: JobId
    spec: JobSpec
    given: CallInput


class PendingControl(NamedTuple):
    """A control message that waits for its link."""

    message: tuple[Any, ...]


class SentRequest(NamedTuple):
    """A control request that waits for its reply."""

    peer: HostId
    asked_at: float
    timer: asyncio.TimerHandle


class _Dial:
    """A link that is being opened, with what waits for it."""

    def __init__(self) -> None:
        self.waiting: list[PendingCall | PendingControl] = []


class Links:
    """Links to other nodes.

    Args:
        node: The node.
        identity: What this node proves itself with.

    """

    def __init__(self, *, node: Node, identity: Identity) -> None:
        self._node = node
        self._identity = identity
        self._proved: dict[HostId, Link] = {}
        self._open: set[Link] = set()
        self._dials: dict[str, _Dial] = {}
        self._dialled: dict[Link, str] = {}
        self._calls: dict[JobId, Link] = {}
        self._answering: set[JobId] = set()
        self._requests: dict[int, SentRequest] = {}
        self._explains: dict[int, asyncio.Future[ExplainReply]] = {}
        self._bodies: dict[JobId, tuple[CallOpen, list[bytes]]] = {}
        self._server: asyncio.Server | None = None
        self._next_explain = 0

    async def open(self, address: Address) -> None:
        """Listen for peers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, address.ip, address.port, reuse_address=True
        )

    async def close(self) -> None:
        """Close the listener and all links."""
        if self._server is not None:
            self._server.close()
        for link in list(self._open):
            link.close()

    def send_call(
        self, peer: HostId, job: JobId, spec: JobSpec, given: CallInput
    ) -> None:
        """Send an attempt, over a new link if there is none."""
        link = self._proved.get(peer)
        if link is not None:
            self._write_call(link, PendingCall(job, spec, given))
            return
        record = self._node.state.members.records.get(peer)
        if record is None:
            self._lose(job, sent=False)
            return
        self._queue(peer, record.address, PendingCall(job, spec, given))

    def cancel_call(self, job: JobId) -> None:
        """Tell the peer that an attempt is given up."""
        link = self._calls.pop(job, None)
        self._answering.discard(job)
        if link is not None:
            link.send(CallCancel(job))

    def send_control(self, peer: HostId, address: str, message: ControlMessage) -> None:
        """Send a control message, over a new link if there is none."""
        if isinstance(message, GossipRequest | TokenRequest | StatusRequest):
            self._expect_reply(peer, message.number)
        link = self._proved.get(peer)
        if link is not None:
            link.send(message)
            return
        self._queue(peer, address, PendingControl(message))

    async def explain(self, peer: HostId, root: RootId) -> ExplainReply:
        """Ask a peer what it did with a root request.

        Raises:
            TimeoutError: The peer has not answered in time.

        """
        self._next_explain += 1
        number = self._next_explain
        loop = asyncio.get_running_loop()
        future: asyncio.Future[ExplainReply] = loop.create_future()
        self._explains[number] = future
        record = self._node.state.members.records.get(peer)
        request = ExplainRequest(number, root)
        link = self._proved.get(peer)
        if link is not None:
            link.send(request)
        elif record is not None:
            self._queue(peer, record.address, PendingControl(request))
        try:
            return await asyncio.wait_for(future, CONTROL_TIMEOUT_S)
        finally:
            self._explains.pop(number, None)

    def link_proved(self, link: Link) -> None:
        """Send what has waited for the link."""
        assert link.peer is not None
        self._proved[link.peer] = link
        dial = self._dials.pop(self._dialled.get(link, ""), None)
        for each in dial.waiting if dial is not None else []:
            if isinstance(each, PendingCall):
                self._write_call(link, each)
            else:
                link.send(each.message)

    def link_closed(self, link: Link) -> None:
        """Report the calls and jobs that were under way over a link."""
        self._open.discard(link)
        if link.peer is not None and self._proved.get(link.peer) is link:
            del self._proved[link.peer]
        address = self._dialled.pop(link, None)
        if address is not None and address in self._dials:
            self._fail_dial(address)
        for job in [job for job, used in self._calls.items() if used is link]:
            self._lose(job, sent=True)
        for job in self._node.jobs_over(link):
            self._node.cancel_job(job)

    def link_rejected(self, link: Link, problem: str) -> None:
        """Count and log a link that was dropped."""
        self._node.metrics.count("links.rejected")
        fields: dict[str, object] = {"peer": link.peer, "problem": problem}
        self._node.execute(Log(Part.MEMBERS, "Dropped a link.", fields))

    def link_message(self, link: Link, message: tuple[Any, ...]) -> None:
        """Hand a message to the function for its type."""
        handler = _HANDLERS.get(type(message))
        if handler is not None:
            handler(self, link, message)
            return
        self._take_control(link, message)

    def _accept(self) -> Link:
        link = Link(identity=self._identity, owner=self, dials=False)
        self._open.add(link)
        return link

    def _queue(
        self, peer: HostId, address: str, waiting: PendingCall | PendingControl
    ) -> None:
        dial = self._dials.get(address)
        if dial is None:
            dial = self._dials[address] = _Dial()
            self._node.spawn(self._dial(peer, address))
        if len(dial.waiting) < MAX_QUEUED:
            dial.waiting.append(waiting)
        elif isinstance(waiting, PendingCall):
            self._lose(waiting.job, sent=False)

    async def _dial(self, peer: HostId, address: str) -> None:
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()

        def build() -> Link:
            expected = peer or None
            link = Link(
                identity=self._identity, owner=self, dials=True, expected=expected
            )
            self._open.add(link)
            self._dialled[link] = address
            return link

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.create_connection(build, ip, int(port))
        except (OSError, TimeoutError):
            self._fail_dial(address)

    def _fail_dial(self, address: str) -> None:
        dial = self._dials.pop(address, None)
        for each in dial.waiting if dial is not None else []:
            if isinstance(each, PendingCall):
                self._lose(each.job, sent=False)

    def _write_call(self, link: Link, call: PendingCall) -> None:
        body = call.given.body
        first, rest = body[:BODY_PART_BYTES], body[BODY_PART_BYTES:]
        opened = CallOpen(
            call.job,
            call.spec,
            call.given.method,
            call.given.target,
            call.given.headers,
            first,
            bool(rest),
        )
        if not link.send(opened):
            self._lose(call.job, sent=False)
            return
        self._calls[call.job] = link
        for at in range(0, len(rest), BODY_PART_BYTES):
            part = rest[at : at + BODY_PART_BYTES]
            link.send(CallBody(call.job, part, at + BODY_PART_BYTES < len(rest)))

    def _lose(self, job: JobId, *, sent: bool) -> None:
        self._calls.pop(job, None)
        if job in self._answering:
            self._answering.discard(job)
            self._node.dispatch(AttemptDone(job, whole=False))
        else:
            self._node.dispatch(AttemptLost(job, sent=sent))

    def _expect_reply(self, peer: HostId, number: int) -> None:
        loop = asyncio.get_running_loop()
        timer = loop.call_later(CONTROL_TIMEOUT_S, self._fail_request, number)
        self._requests[number] = SentRequest(peer, read_clock(), timer)

    def _fail_request(self, number: int) -> None:
        sent = self._requests.pop(number, None)
        if sent is not None:
            self._node.dispatch(ControlFailed(sent.peer, number))

    def _take_control(self, link: Link, message: tuple[Any, ...]) -> None:
        assert link.peer is not None
        asked_at = read_clock()
        if isinstance(message, GossipReply | TokenReply | StatusReply):
            sent = self._requests.pop(message.number, None)
            if sent is None:
                return
            sent.timer.cancel()
            asked_at = sent.asked_at
        envelope = Envelope(link.peer, message)  # type: ignore[arg-type]
        self._node.dispatch(ControlReceived(envelope, asked_at))

    def _take_call(self, link: Link, message: CallOpen) -> None:
        if message.job.origin != link.peer:
            self.link_rejected(link, "call for another origin")
            link.close()
            return
        if message.more:
            self._bodies[message.job] = (message, [message.body])
            return
        self._begin_job(link, message, message.body)

    def _take_body(self, link: Link, message: CallBody) -> None:
        opened, parts = self._bodies.get(message.job, (None, []))
        if opened is None:
            return
        parts.append(message.data)
        if not message.more:
            del self._bodies[message.job]
            self._begin_job(link, opened, b"".join(parts))

    def _begin_job(self, link: Link, opened: CallOpen, body: bytes) -> None:
        given = CallInput(opened.method, opened.target, opened.headers, body)
        self._node.given[opened.job] = given
        self._node.sinks[opened.job] = LinkSink(link=link, job=opened.job)
        self._node.dispatch(JobArrived(opened.job, opened.spec))

    def _take_cancel(self, link: Link, message: CallCancel) -> None:
        self._bodies.pop(message.job, None)
        if message.job.origin == link.peer:
            self._node.cancel_job(message.job)

    def _take_head(self, link: Link, message: AnswerHead) -> None:
        if self._calls.get(message.job) is not link:
            return
        start = AnswerStart(
            message.status,
            message.reason,
            message.headers,
            message.body,
            message.more,
        )
        self._node.dispatch(AttemptAnswered(message.job, message.load))
        exchange = self._node.exchanges.get(message.job.exchange)
        if exchange is not None:
            exchange.begin(start, lambda: self._acknowledge(message.job))
        if message.more:
            self._answering.add(message.job)
            return
        self._calls.pop(message.job, None)
        self._node.dispatch(AttemptDone(message.job, whole=True))

    def _take_part(self, link: Link, message: AnswerBody) -> None:
        if self._calls.get(message.job) is not link:
            return
        exchange = self._node.exchanges.get(message.job.exchange)
        if exchange is not None and not message.broken:
            exchange.push(AnswerPart(message.data, message.more, broken=False))
        if message.more:
            return
        self._calls.pop(message.job, None)
        self._answering.discard(message.job)
        self._node.dispatch(AttemptDone(message.job, whole=not message.broken))

    def _take_refusal(self, link: Link, message: AnswerRefused) -> None:
        if self._calls.get(message.job) is not link:
            return
        self._calls.pop(message.job, None)
        refusal = Refusal(
            REASONS_BY_LABEL.get(message.reason, Reason.SHED),
            message.outcome,
            message.retry_after_s,
            message.detail,
        )
        self._node.dispatch(AttemptRefused(message.job, refusal, message.load))

    def _take_ack(self, link: Link, message: AnswerAck) -> None:
        executors.acknowledge(self._node, message)

    def _acknowledge(self, job: JobId) -> None:
        link = self._calls.get(job)
        if link is not None and link.phase is LinkPhase.PROVED:
            link.send(AnswerAck(job, 1))

    def _take_explain(self, link: Link, message: ExplainRequest) -> None:
        records = tuple(self._node.logs.find(message.root))
        link.send(ExplainReply(message.number, records))

    def _take_explained(self, link: Link, message: ExplainReply) -> None:
        future = self._explains.get(message.number)
        if future is not None and not future.done():
            future.set_result(message)


_HANDLERS: dict[type, Callable[[Links, Link, Any], None]] = {
    CallOpen: Links._take_call,
    CallBody: Links._take_body,
    CallCancel: Links._take_cancel,
    AnswerHead: Links._take_head,
    AnswerBody: Links._take_part,
    AnswerRefused: Links._take_refusal,
    AnswerAck: Links._take_ack,
    ExplainRequest: Links._take_explain,
    ExplainReply: Links._take_explained,
}
