"""Calls that the upstreams of this host make for the jobs they run.

They come back to the node of their host as requests of their own, which tells how long
a job has waited for others, and whether overload further down has spoilt it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_core.admission import LoadReport
    from lavenderway_core.context import Context
    from lavenderway_core.state import Job, NodeState


def begin_nested(state: NodeState, parent: Context | None, now: float) -> None:
    """Note that an upstream of this host waits for a call of its own."""
    record = _parent_job(state, parent)
    if record is None:
        return
    if not record.nested:
        record.nested_since = now
    record.nested += 1


def end_nested(state: NodeState, parent: Context | None, now: float) -> None:
    """Note that a call of an upstream of this host has ended."""
    record = _parent_job(state, parent)
    if record is None or not record.nested:
        return
    record.nested -= 1
    if not record.nested:
        record.nested_s += now - record.nested_since


def note_nested_overload(state: NodeState, parent: Context | None) -> None:
    """Count a job whose own call was refused by overload further down, once."""
    record = _parent_job(state, parent)
    local = None if record is None else state.upstreams.get(record.spec.upstream)
    if record is None or local is None or record.overloaded_below:
        return
    record.overloaded_below = True
    if record.spec.is_root:
        local.admission.level.record_failure(record.arrived)


def note_nested_load(
    state: NodeState, parent: Context | None, load: LoadReport
) -> None:
    """Pass the pressure further down on to the upstream whose call it answers."""
    record = _parent_job(state, parent)
    local = None if record is None else state.upstreams.get(record.spec.upstream)
    if local is not None:
        local.admission.record_below(load.pressure)


def _parent_job(state: NodeState, parent: Context | None) -> Job | None:
    if parent is None or parent.signer != state.host:
        return None
    job = state.jobs_by_number.get(parent.parent)
    return None if job is None else state.jobs.get(job)
