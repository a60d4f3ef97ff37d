"""Nested calls: calls that the upstreams of this host make while they run jobs.

An upstream sends its calls through the node of its own host. The node thus knows how
long a job has waited for other services, and whether it failed because of their
overload.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_core.admission import LoadReport
    from lavenderway_core.context import Context
    from lavenderway_core.state import Job, NodeState


def begin_nested_call(
    state: NodeState, parent_context: Context | None, now: float
) -> None:
    """Record the start of a nested call.

    Args:
        state: State of the node.
        parent_context: Context of the call; None for a root request.
        now: Current time in seconds.

    """
    record = _parent_job(state, parent_context)
    if record is None:
        return
    if not record.nested_calls:
        record.nested_since = now
    record.nested_calls += 1


def end_nested_call(
    state: NodeState, parent_context: Context | None, now: float
) -> None:
    """Record the end of a nested call."""
    record = _parent_job(state, parent_context)
    if record is None or not record.nested_calls:
        return
    record.nested_calls -= 1
    if not record.nested_calls:
        record.nested_s += now - record.nested_since


def record_nested_overload(state: NodeState, parent_context: Context | None) -> None:
    """Record that a nested call was refused because of overload.

    A job counts as failed at most once, however many of its calls were refused.
    """
    record = _parent_job(state, parent_context)
    local = None if record is None else state.upstreams.get(record.spec.upstream)
    if record is None or local is None or record.nested_overload:
        return
    record.nested_overload = True
    if record.spec.is_root:
        local.admission.level.record_failure(record.arrived_at)


def record_nested_load(
    state: NodeState, parent_context: Context | None, load: LoadReport
) -> None:
    """Record the utilization that a nested call met, at the upstream that made it."""
    record = _parent_job(state, parent_context)
    local = None if record is None else state.upstreams.get(record.spec.upstream)
    if local is not None:
        local.admission.record_nested_utilization(load.utilization)


def _parent_job(state: NodeState, parent_context: Context | None) -> Job | None:
    if parent_context is None or parent_context.signer != state.host:
        return None
    job = state.jobs_by_number.get(parent_context.parent_job)
    return None if job is None else state.jobs.get(job)
