"""HTTP client that sends jobs to the upstreams of this host."""

from __future__ import annotations

import asyncio
import base64
from typing import TYPE_CHECKING

import aiohttp
from lavenderway_core.context import sign_context
from lavenderway_core.events import JobFinished, ResponseRecorded, RunResult
from lavenderway_core.hosting import measure_load
from yarl import URL

from lavenderway_node.clock import read_clock
from lavenderway_node.connector import SafeReuseConnector
from lavenderway_node.exchange import ForwardedRequest, ResponsePart, ResponseStart
from lavenderway_node.headers import decode_fields, filter_response

if TYPE_CHECKING:
    from lavenderway_core.effects import RunJob
    from lavenderway_core.ids import JobId

    from lavenderway_node.frames import Headers
    from lavenderway_node.node import Node
    from lavenderway_node.sinks import Sink

MAX_BUFFERED_RESPONSE_BYTES = 64 * 1024
MAX_PART_BYTES = 64 * 1024
MAX_RECORDED_RESPONSE_BYTES = 64 * 1024
KEEP_ALIVE_TIMEOUT_S = 4.0  # many servers close idle connections after 5 s
CONNECT_TIMEOUT_S = 1.0
_OVERLOAD_STATUSES = frozenset({429, 503})
VALID_STATUSES = range(100, 600)  # RFC 9110, 15: others are treated as an error
_NO_BODY_STATUSES = frozenset({204, 304})


class _JobProgress:
    """Progress of one job, which decides how its failure is reported.

    Attributes:
        response_started: Whether the response head has been passed on.
        status: Status code of the response; 0 before there is one.
        recorded_body: Body received so far; None if it is not recorded.

    """

    __slots__ = ("recorded_body", "response_started", "status")

    def __init__(self) -> None:
        self.response_started = False
        self.status = 0
        self.recorded_body: bytearray | None = None


class UpstreamClient:
    """Sends jobs to upstreams and passes their responses to sinks.

    Args:
        node: Node whose jobs are sent.
        secret: Fleet secret that signs the request contexts.

    """

    def __init__(self, *, node: Node, secret: bytes) -> None:
        self._node = node
        self._secret = secret
        self._session: aiohttp.ClientSession | None = None
        self._tasks: dict[JobId, asyncio.Task[None]] = {}

    async def open(self) -> None:
        """Open the HTTP session."""
        connector = SafeReuseConnector(limit=0, keepalive_timeout=KEEP_ALIVE_TIMEOUT_S)
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        # By default, aiohttp resends an idempotent request on a new connection when a
        # reused one fails; the upstream may then run the request twice.
        self._session._retry_connection = False

    async def close(self) -> None:
        """Cancel the running jobs and close the HTTP session."""
        for task in list(self._tasks.values()):
            task.cancel()
        if self._session is not None:
            await self._session.close()

    def start(self, effect: RunJob, forwarded: ForwardedRequest, sink: Sink) -> None:
        """Start sending a job to its upstream."""
        task = asyncio.create_task(self._run_job(effect, forwarded, sink))
        self._tasks[effect.job] = task

    def abort(self, job: JobId) -> None:
        """Abort the request that a job has sent to its upstream."""
        task = self._tasks.get(job)
        if task is not None:
            task.cancel()

    async def _run_job(
        self, effect: RunJob, forwarded: ForwardedRequest, sink: Sink
    ) -> None:
        progress = _JobProgress()
        if effect.keep_response:
            progress.recorded_body = bytearray()
        try:
            async with asyncio.timeout(effect.deadline - read_clock()):
                result = await self._send_request(effect, forwarded, sink, progress)
        except TimeoutError:
            result = RunResult.TIMED_OUT
        except asyncio.CancelledError:
            result = RunResult.CANCELLED
        except aiohttp.ClientConnectorError:
            result = RunResult.NOT_SENT
        except (aiohttp.ClientError, OSError, ValueError):
            result = RunResult.BROKEN
        self._tasks.pop(effect.job, None)
        if progress.response_started and result not in (
            RunResult.COMPLETE,
            RunResult.OVERLOADED,
        ):
            sink.push(ResponsePart(b"", more=False, broken=True))
        self._node.dispatch(JobFinished(effect.job, result, progress.response_started))
        self._node.discard_job(effect.job)

    async def _send_request(
        self,
        effect: RunJob,
        forwarded: ForwardedRequest,
        sink: Sink,
        progress: _JobProgress,
    ) -> RunResult:
        assert self._session is not None
        url = URL(f"http://{effect.address}{forwarded.target}", encoded=True)
        async with self._session.request(
            forwarded.method,
            url,
            headers=self._build_headers(effect, forwarded),
            data=forwarded.body or None,
            allow_redirects=False,
        ) as response:
            if response.status not in VALID_STATUSES:
                raise ValueError(
                    f"expected a status from 100 to 599, got {response.status}"
                )
            progress.status = response.status
            fields = filter_response(response.raw_headers)
            has_no_body = (
                forwarded.method == "HEAD" or response.status in _NO_BODY_STATUSES
            )
            length = response.content_length
            if has_no_body or (
                length is not None and length <= MAX_BUFFERED_RESPONSE_BYTES
            ):
                body = b"" if has_no_body else await response.read()
                self._send_head(
                    effect, response, fields, body, sink, progress, more=False
                )
                self._record_response(effect, response, fields, body)
            else:
                await self._stream_response(effect, response, fields, sink, progress)
        if progress.status in _OVERLOAD_STATUSES:
            return RunResult.OVERLOADED
        return RunResult.COMPLETE

    async def _stream_response(
        self,
        effect: RunJob,
        response: aiohttp.ClientResponse,
        fields: Headers,
        sink: Sink,
        progress: _JobProgress,
    ) -> None:
        self._send_head(effect, response, fields, b"", sink, progress, more=True)
        async for data in response.content.iter_any():
            for offset in range(0, len(data), MAX_PART_BYTES):
                part = bytes(data[offset : offset + MAX_PART_BYTES])
                await sink.wait_for_window()
                sink.push(ResponsePart(part, more=True, broken=False))
            if (
                progress.recorded_body is not None
                and len(progress.recorded_body) <= MAX_RECORDED_RESPONSE_BYTES
            ):
                progress.recorded_body += data
        if (
            progress.recorded_body is not None
            and len(progress.recorded_body) <= MAX_RECORDED_RESPONSE_BYTES
        ):
            self._record_response(
                effect, response, fields, bytes(progress.recorded_body)
            )
        sink.push(ResponsePart(b"", more=False, broken=False))

    def _send_head(
        self,
        effect: RunJob,
        response: aiohttp.ClientResponse,
        fields: Headers,
        body: bytes,
        sink: Sink,
        progress: _JobProgress,
        *,
        more: bool,
    ) -> None:
        progress.response_started = True
        load = measure_load(self._node.state, effect.job, read_clock())
        reason = response.reason or ""
        sink.begin(ResponseStart(response.status, reason, fields, body, more), load)

    def _record_response(
        self,
        effect: RunJob,
        response: aiohttp.ClientResponse,
        fields: Headers,
        body: bytes,
    ) -> None:
        if not effect.keep_response or len(body) > MAX_RECORDED_RESPONSE_BYTES:
            return
        recorded: dict[str, object] = {
            "status": response.status,
            "reason": response.reason or "",
            "headers": [
                [name.decode("latin-1"), value.decode("latin-1")]
                for name, value in fields
            ],
            "body": base64.b64encode(body).decode(),
        }
        self._node.dispatch(ResponseRecorded(effect.job, recorded))

    def _build_headers(
        self, effect: RunJob, forwarded: ForwardedRequest
    ) -> list[tuple[str, str]]:
        context = effect.context
        fields = decode_fields(forwarded.headers)
        fields.append(("Lavenderway-Context", sign_context(context, self._secret)))
        fields.append(("Lavenderway-Request-Id", context.root))
        fields.append(("Lavenderway-Timeout-Ms", str(context.remaining_ms)))
        fields.append(("Lavenderway-Importance", context.importance.label))
        if context.workspace is not None:
            fields.append(("Lavenderway-Workspace", context.workspace))
        return fields
