"""HTTP client of the operators' resource API."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

REQUEST_TIMEOUT_S = 15.0
MAX_WRITE_ATTEMPTS = 3
MAX_RESPONSE_BYTES = 16_777_216  # far above any document
WRITE_ID_HEADER = "Lavenderway-Write-Id"


class ApiError(NamedTuple):
    """Error of an API call.

    Attributes:
        status: HTTP status; 0 if no valid response was received.
        title: Error message for the operator.
        document: The problem document of the response; empty if there is none.

    """

    status: int
    title: str
    document: dict[str, Any]


class ApiClient:
    """Client of the resource API of one node.

    Args:
        url: Base URL of the node's listener for operators.
        secret: The operator's credential.

    """

    def __init__(self, *, url: str, secret: str) -> None:
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {secret}"}

    async def read(self, path: str) -> Result[dict[str, Any], ApiError]:
        """Return the document at a path."""
        return await self._call("GET", path, {}, None)

    async def write(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        *,
        write_id: str,
        expected_revision: str | None,
    ) -> Result[dict[str, Any], ApiError]:
        """Create, replace or delete a resource.

        Retries a call that got no valid response or the status 503. By the write ID,
        the node recognizes a write that was applied although its response was lost.

        Args:
            method: HTTP method.
            path: Path of the resource.
            body: Document with the specification; None to delete the resource.
            write_id: ID of this write, sent again with each retry.
            expected_revision: Revision that the resource must be at; None for any.

        """
        headers = {WRITE_ID_HEADER: write_id}
        if expected_revision is not None:
            headers["If-Match"] = expected_revision
        result = await self._call(method, path, headers, body)
        for _ in range(MAX_WRITE_ATTEMPTS - 1):
            if not _is_retryable(result):
                break
            result = await self._call(method, path, headers, body)
        return result

    async def watch(
        self, kind: str, since_revision: int
    ) -> AsyncIterator[dict[str, Any]]:
        """Yield each resource of a kind whenever it or its status changes.

        Args:
            kind: Kind of the resources.
            since_revision: Revision after which changes are reported.

        """
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=REQUEST_TIMEOUT_S)
        url = f"{self._url}/v1/{kind}?watch={since_revision}"
        async with (
            aiohttp.ClientSession(headers=self._headers, timeout=timeout) as session,
            session.get(url) as response,
        ):
            async for line in response.content:
                if line.startswith(b"data: "):
                    yield json.loads(line[6:])

    async def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any] | None,
    ) -> Result[dict[str, Any], ApiError]:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(
                    headers=self._headers, timeout=timeout
                ) as session,
                session.request(
                    method, self._url + path, headers=headers, json=body
                ) as response,
            ):
                document = json.loads(await _read_body(response))
                if response.status < 300:
                    return Success(document)
                title = str(document.get("title", response.reason))
                return Failure(ApiError(response.status, title, document))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            message = (
                f"{self._url} sent no valid response: {error or type(error).__name__}"
            )
            return Failure(ApiError(0, message, {}))


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of a response.

    Raises:
        aiohttp.ClientPayloadError: The body exceeds `MAX_RESPONSE_BYTES`.

    """
    body = bytearray()
    async for data in response.content.iter_any():
        body += data
        if len(body) > MAX_RESPONSE_BYTES:
            raise aiohttp.ClientPayloadError(
                f"the response exceeds {MAX_RESPONSE_BYTES} bytes"
            )
    return bytes(body)


def _is_retryable(result: Result[dict[str, Any], ApiError]) -> bool:
    """Return whether a call got no valid response or the status 503.

    A node sends 503 if the platform's table is unavailable or has not confirmed a
    write.
    """
    match result:
        case Failure(ApiError(status=0 | 503)):
            return True
    return False
