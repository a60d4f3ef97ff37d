"""Runs jobs on the upstreams of this host over HTTP."""

from __future__ import annotations

import asyncio
import base64
from typing import TYPE_CHECKING

import aiohttp
from lavenderway_core.context import sign_context
from lavenderway_core.events import AnswerRecorded, JobFinished, RunResult
from lavenderway_core.hosting import load_of
from yarl import URL

from lavenderway_node.clock import read_clock
from lavenderway_node.connector import CleanConnector
from lavenderway_node.exchange import AnswerPart, AnswerStart, CallInput
from lavenderway_node.headers import decode_fields, filter_answer

if TYPE_CHECKING:
    from lavenderway_core.effects import RunJob
    from lavenderway_core.ids import JobId

    from lavenderway_node.frames import Headers
    from lavenderway_node.node import Node
    from lavenderway_node.sinks import Sink

WHOLE_MAX_BYTES = 64 * 1024
PART_BYTES = 64 * 1024
KEPT_ANSWER_BYTES = 64 * 1024
KEEP_ALIVE_S = 4.0  # upstreams commonly close idle connections after 5 s
CONNECT_TIMEOUT_S = 1.0
_OVERLOAD_STATUSES = frozenset({429, 503})
_BODILESS_STATUSES = frozenset({204, 304})


class _Run:
    """Progress of one job, for the verdict when it fails."""

    __slots__ = ("answered", "kept", "status")

    def __init__(self) -> None:
        self.answered = False
        self.status = 0
        self.kept: bytearray | None = None


class UpstreamClient:
    """Gives jobs to upstreams.

    Args:
        node: The node.
        secret: Fleet secret that signs contexts.

    """

    def __init__(self, *, node: Node, secret: bytes) -> None:
        self._node = node
        self._secret = secret
        self._session: aiohttp.ClientSession | None = None
        self._tasks: dict[JobId, asyncio.Task[None]] = {}

    async def open(self) -> None:
        """Open the client."""
        connector = CleanConnector(limit=0, keepalive_timeout=KEEP_ALIVE_S)
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        # a request that was sent must never be sent again by the library
        self._session._retry_connection = False

    async def close(self) -> None:
        """Cancel what runs and close the client."""
        for task in list(self._tasks.values()):
            task.cancel()
        if self._session is not None:
            await self._session.close()

    def start(self, effect: RunJob, given: CallInput, sink: Sink) -> None:
        """Give a job to its upstream."""
        task = asyncio.create_task(self._run(effect, given, sink))
        self._tasks[effect.job] = task

    def abort(self, job: JobId) -> None:
        """Cancel a job towards its upstream."""
        task = self._tasks.get(job)
        if task is not None:
            task.cancel()

    async def _run(self, effect: RunJob, given: CallInput, sink: Sink) -> None:
        run = _Run()
        if effect.keep_answer:
            run.kept = bytearray()
        try:
            async with asyncio.timeout(effect.deadline - read_clock()):
                result = await self._exchange(effect, given, sink, run)
        except TimeoutError:
            result = RunResult.TIMED_OUT
        except asyncio.CancelledError:
            result = RunResult.CANCELLED
        except aiohttp.ClientConnectorError:
            result = RunResult.NOT_SENT
        except (aiohttp.ClientError, OSError, ValueError):
            result = RunResult.BROKEN
        self._tasks.pop(effect.job, None)
        if run.answered and result not in (RunResult.WHOLE, RunResult.OVERLOADED):
            sink.push(AnswerPart(b"", more=False, broken=True))
        self._node.dispatch(JobFinished(effect.job, result, run.answered))
        self._node.forget_job(effect.job)

    async def _exchange(
        self, effect: RunJob, given: CallInput, sink: Sink, run: _Run
    ) -> RunResult:
        assert self._session is not None
        url = URL(f"http://{effect.address}{given.target}", encoded=True)
        async with self._session.request(
            given.method,
            url,
            headers=self._headers(effect, given),
            data=given.body or None,
            allow_redirects=False,
        ) as response:
            run.status = response.status
            fields = filter_answer(response.raw_headers)
            bodiless = given.method == "HEAD" or response.status in _BODILESS_STATUSES
            length = response.content_length
            if bodiless or (length is not None and length <= WHOLE_MAX_BYTES):
                body = b"" if bodiless else await response.read()
                self._begin(effect, response, fields, body, sink, run, more=False)
                self._record(effect, response, fields, body)
            else:
                await self._stream(effect, response, fields, sink, run)
        if run.status in _OVERLOAD_STATUSES:
            return RunResult.OVERLOADED
        return RunResult.WHOLE

    async def _stream(
        self,
        effect: RunJob,
        response: aiohttp.ClientResponse,
        fields: Headers,
        sink: Sink,
        run: _Run,
    ) -> None:
        self._begin(effect, response, fields, b"", sink, run, more=True)
        async for data in response.content.iter_any():
            for at in range(0, len(data), PART_BYTES):
                part = bytes(data[at : at + PART_BYTES])
                await sink.wait_for_room()
                sink.push(AnswerPart(part, more=True, broken=False))
            if run.kept is not None and len(run.kept) <= KEPT_ANSWER_BYTES:
                run.kept += data
        if run.kept is not None and len(run.kept) <= KEPT_ANSWER_BYTES:
            self._record(effect, response, fields, bytes(run.kept))
        sink.push(AnswerPart(b"", more=False, broken=False))

    def _begin(
        self,
        effect: RunJob,
        response: aiohttp.ClientResponse,
        fields: Headers,
        body: bytes,
        sink: Sink,
        run: _Run,
        *,
        more: bool,
    ) -> None:
        run.answered = True
        load = load_of(self._node.state, effect.job, read_clock())
        reason = response.reason or ""
        sink.begin(AnswerStart(response.status, reason, fields, body, more), load)

    def _record(
        self,
        effect: RunJob,
        response: aiohttp.ClientResponse,
        fields: Headers,
        body: bytes,
    ) -> None:
        if not effect.keep_answer or len(body) > KEPT_ANSWER_BYTES:
            return
        answer: dict[str, object] = {
            "status": response.status,
            "reason": response.reason or "",
            "headers": [
                [name.decode("latin-1"), v.decode("latin-1")] for name, v in fields
            ],
            "body": base64.b64encode(body).decode(),
        }
        self._node.dispatch(AnswerRecorded(effect.job, answer))

    def _headers(self, effect: RunJob, given: CallInput) -> list[tuple[str, str]]:
        context = effect.context
        fields = decode_fields(given.headers)
        fields.append(("Lavenderway-Context", sign_context(context, self._secret)))
        fields.append(("Lavenderway-Request-Id", context.root))
        fields.append(("Lavenderway-Timeout-Ms", str(context.remaining_ms)))
        fields.append(("Lavenderway-Importance", context.importance.label))
        if context.workspace is not None:
            fields.append(("Lavenderway-Workspace", context.workspace))
        return fields
