"""Signed context, which propagates properties of a root request to its nested calls.

The context is a base64url payload with a truncated HMAC-SHA256 tag under the fleet
secret, so that a caller cannot forge importance, workspace, deadline or retries.
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
    """Properties of a root request that its nested calls inherit.

    Attributes:
        root: ID of the root request.
        workspace: Workspace charged for the root request; None without a valid key,
            which only routes open to all allow.
        key: ID of the bearer key of the root request; None without a valid one.
        importance: Importance class, which nested calls may only lower.
        retries: Remaining retries of attempts that may have been executed.
        remaining_ms: Time left until the deadline when the context was signed.
        signer: Host whose node signed the context.
        deadline: Deadline on the signer's clock, in seconds.
        parent_job: Number, at the signer, of the job that the upstream received with
            this context; nested calls are attributed to it.

    """

    root: RootId
    workspace: WorkspaceId | None
    key: KeyId | None
    importance: Importance
    retries: int
    remaining_ms: int
    signer: HostId
    deadline: float
    parent_job: ExchangeId

    def deadline_at(self, host: HostId, now: float) -> float:
        """Return the deadline on the clock of `host`, in seconds.

        The clocks of different hosts are not comparable, so a host other than the
        signer counts the remaining time from `now`, the arrival of the request.
        """
        if host == self.signer:
            return self.deadline
        return now + self.remaining_ms / 1000


def sign_context(context: Context, secret: bytes) -> str:
    """Return the header value that carries `context`."""
    payload = base64.urlsafe_b64encode(json.dumps(context).encode()).decode()
    return f"{CONTEXT_VERSION}.{payload}.{_tag(payload, secret)}"


def verify_context(text: str, secrets: tuple[bytes, ...]) -> Context | None:
    """Return the context in a header value, or None if it is not authentic.

    Args:
        text: Header value.
        secrets: Accepted fleet secrets; more than one during a rotation.

    """
    if len(text) > MAX_CONTEXT_CHARS or not text.isascii():
        return None
    version, _, rest = text.partition(".")
    payload, _, tag = rest.partition(".")
    if version != CONTEXT_VERSION:
        return None
    if not any(hmac.compare_digest(tag, _tag(payload, secret)) for secret in secrets):
        return None
    return _decode_payload(payload)


def _tag(payload: str, secret: bytes) -> str:
    digest = hmac.new(secret, b"context:" + payload.encode(), hashlib.sha256).digest()
    return base64.urlsafe_b64encode(digest[:TAG_BYTES]).decode()


def _decode_payload(payload: str) -> Context | None:
    try:
        (
            root,
            workspace,
            key,
            importance,
            retries,
            remaining_ms,
            signer,
            deadline,
            parent_job,
        ) = json.loads(base64.urlsafe_b64decode(payload))
        return Context(
            RootId(root),
            workspace,
            key,
            Importance(importance),
            int(retries),
            int(remaining_ms),
            HostId(signer),
            float(deadline),
            ExchangeId(parent_job),
        )
    except (ValueError, TypeError, binascii.Error):
        return None
