"""Client of the resource API."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

TIMEOUT_S = 15.0
ATTEMPTS = 3
WRITE_ID_HEADER = "Lavenderway-Write-Id"


class ApiError(NamedTuple):
    """Why a call failed.

    Attributes:
        status: HTTP status; 0 when no answer came.
        title: Sentence for the operator.
        document: The problem document, if one came.

    """

    status: int
    title: str
    document: dict[str, Any]


class Api:
    """Calls the resource API of one node.

    Args:
        url: Base URL of the node's operators' listener.
        secret: Operator's credential.

    """

    def __init__(self, *, url: str, secret: str) -> None:
        self._url = url.rstrip("/")
        self._headers = {"Authorization": f"Bearer {secret}"}

    async def read(self, path: str) -> Result[dict[str, Any], ApiError]:
        """Read a document."""
        return await self._call("GET", path, {}, None)

    async def write(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None,
        *,
        write_id: str,
        match: str | None,
    ) -> Result[dict[str, Any], ApiError]:
        """Write a resource; a lost answer is settled by repeating the same write id."""
        headers = {WRITE_ID_HEADER: write_id}
        if match is not None:
            headers["If-Match"] = match
        result = await self._call(method, path, headers, body)
        for _ in range(ATTEMPTS - 1):
            if not _is_unsettled(result):
                break
            result = await self._call(method, path, headers, body)
        return result

    async def watch(self, kind: str, since: int) -> AsyncIterator[dict[str, Any]]:
        """Yield the resources of a kind as they or their status change."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=TIMEOUT_S)
        url = f"{self._url}/v1/{kind}?watch={since}"
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
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(headers=self._headers, timeout=timeout) as s,
                s.request(
                    method, self._url + path, headers=headers, json=body
                ) as response,
            ):
                document = await response.json(content_type=None)
                if response.status < 300:
                    return Success(document)
                title = str(document.get("title", response.reason))
                return Failure(ApiError(response.status, title, document))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            problem = f"{self._url} does not answer: {error or type(error).__name__}"
            return Failure(ApiError(0, problem, {}))


def _is_unsettled(result: Result[dict[str, Any], ApiError]) -> bool:
    match result:
        case Failure(ApiError(status=0 | 503)):
            return True
    return False
