"""Signed context that travels with a request down the call chain.

The context is a base64url payload with an HMAC-SHA256 tag under the fleet secret, so
that a caller cannot forge importance, workspace, deadline or retries.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import json
from typing import NamedTuple

from lavenderway_core.ids import ExchangeId, HostId, KeyId, RootId, WorkspaceId
from lavenderway_core.importance import Importance

CONTEXT_VERSION = "1"
TAG_BYTES = 16
MAX_CONTEXT_CHARS = 2048


class Context(NamedTuple):
    """Facts about a root request that hold for all its calls.

    Attributes:
        root: Id of the root request.
        workspace: Workspace that pays for the root request; None on open routes.
        key: Key that came with the root request; None on open routes.
        importance: Importance; calls further down may only lower it.
        retries: Retries left that may repeat an execution.
        remaining_ms: Time budget left when the context was signed.
        signer: Host that signed it.
        deadline: Deadline on the signer's clock, in seconds.
        parent: Exchange at the signer whose upstream received this context.

    """

    root: RootId
    workspace: WorkspaceId | None
    key: KeyId | None
    importance: Importance
    retries: int
    remaining_ms: int
    signer: HostId
    deadline: float
    parent: ExchangeId

    def deadline_at(self, host: HostId, now: float) -> float:
        """Return the deadline on the clock of `host`, in seconds."""
        if host == self.signer:
            return self.deadline
        return now + self.remaining_ms / 1000


def sign_context(context: Context, secret: bytes) -> str:
    """Return the header value for `context`."""
    payload = base64.urlsafe_b64encode(json.dumps(context).encode()).decode()
    return f"{CONTEXT_VERSION}.{payload}.{_tag(payload, secret)}"


def verify_context(text: str, secrets: tuple[bytes, ...]) -> Context | None:
    """Return the context in a header value, or None if it is not authentic.

    Args:
        text: Header value.
        secrets: Fleet secrets that are accepted, so that they can be rotated.

    """
    if len(text) > MAX_CONTEXT_CHARS or not text.isascii():
        return None
    version, _, rest = text.partition(".")
    payload, _, tag = rest.partition(".")
    if version != CONTEXT_VERSION:
        return None
    if not any(hmac.compare_digest(tag, _tag(payload, secret)) for secret in secrets):
        return None
    return _decode(payload)


def _tag(payload: str, secret: bytes) -> str:
    digest = hmac.new(secret, b"context:" + payload.encode(), hashlib.sha256).digest()
    return base64.urlsafe_b64encode(digest[:TAG_BYTES]).decode()


def _decode(payload: str) -> Context | None:
    try:
        root, workspace, key, level, retries, left, signer, deadline, parent = (
            json.loads(base64.urlsafe_b64decode(payload))
        )
        return Context(
            RootId(root),
            workspace,
            key,
            Importance(level),
            int(retries),
            int(left),
            HostId(signer),
            float(deadline),
            ExchangeId(parent),
        )
    except (ValueError, TypeError, binascii.Error):
        return None
