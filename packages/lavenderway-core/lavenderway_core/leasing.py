"""Acquires, renews, resizes and hands back allotments through the platform's table."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core import gossip
from lavenderway_core.allotments import (
    GRANTED_ROW,
    LEASE_MARGIN_RATIO,
    LEASE_S,
    LOAN_LIFETIME_S,
    LOAN_MARGIN_S,
    RENEW_INTERVAL_S,
    RETRY_INTERVAL_S,
    ROW_PREFIX,
    Allotment,
    AllotmentId,
    AllotmentRow,
    Share,
    allowed_share,
    desired_share,
)
from lavenderway_core.effects import Log, Part, ReadRows, Transact
from lavenderway_core.placement import place_allotments
from lavenderway_core.state import (
    NodeState,
    Observation,
    PendingLease,
)
from lavenderway_core.table import (
    ABSENT,
    Condition,
    Purpose,
    Row,
    Ticket,
    TransactOutcome,
    Write,
)

if TYPE_CHECKING:
    from lavenderway_core.events import RowsRead, TransactSettled
    from lavenderway_core.ids import WorkspaceId
    from lavenderway_core.reducer import Effects
    from lavenderway_core.resources import WorkspaceSpec

TAKEOVER_S = LEASE_S * (1 + LEASE_MARGIN_RATIO)
SHARE_TOLERANCE = 1e-6


class _LeasePlan(NamedTuple):
    """Rows to write, and the granted burst after that."""

    pending: list[PendingLease]
    granted: float


def tick_leases(state: NodeState, now: float) -> Effects:
    """Read the rows of each workspace for which something is due."""
    effects: Effects = _drop_lapsed(state, now)
    if state.lifecycle.draining:
        return effects + _release_settled(state)
    for workspace in state.directory.workspaces.values():
        if _is_due(state, workspace, now):
            state.leasing.busy.add(workspace.name)
            state.leasing.next_try[workspace.name] = now + _jitter(state)
            effects.append(
                ReadRows(
                    Ticket(Purpose.ALLOTMENTS, workspace.name),
                    f"{ROW_PREFIX}{workspace.name}/",
                )
            )
    return effects


def take_rows(state: NodeState, event: RowsRead, now: float) -> Effects:
    """Decide from the rows of a workspace which ones to write."""
    name = event.ticket.workspace
    workspace = None if name is None else state.directory.workspaces.get(name)
    if name is None or event.rows is None or workspace is None:
        if name is not None:
            state.leasing.busy.discard(name)
        return []
    observe_rows(state, event.rows, now)
    plan = _plan(state, workspace, event.rows, now)
    if not plan.pending:
        state.leasing.busy.discard(name)
        return []
    state.leasing.pending[name] = plan.pending
    writes = [Write(each.place.row, _encode(state, each)) for each in plan.pending]
    counter = _granted_key(workspace)
    writes.append(Write(counter, {GRANTED_ROW: plan.granted}))
    conditions = _conditions(event.rows, writes)
    return [Transact(event.ticket, conditions, tuple(writes))]


def settle_leases(state: NodeState, event: TransactSettled, now: float) -> Effects:
    """Hold the allotments whose rows were written."""
    name = event.ticket.workspace
    if name is None:
        return []
    state.leasing.busy.discard(name)
    pending = state.leasing.pending.pop(name, [])
    if event.outcome is not TransactOutcome.COMMITTED:
        state.leasing.next_try[name] = now + _jitter(state)
        return []
    effects: Effects = []
    for each in pending:
        effects += _hold(state, each, event.asked_at + LEASE_S, now)
        version = event.versions.get(each.place.row, ABSENT)
        state.allotments[each.place].version = version
    return effects + publish_holds(state)


def apply_rates(state: NodeState, now: float) -> Effects:
    """Lower allotments at once after a change, and try to raise them soon."""
    effects: Effects = []
    for allotment in list(state.allotments.values()):
        workspace = state.directory.workspaces.get(allotment.id.workspace)
        if workspace is None:
            effects.append(_release(state, allotment))
            continue
        wanted = desired_share(workspace, place_allotments(state, workspace).total)
        lowered = Share(
            min(allotment.share.rate_per_s, wanted.rate_per_s),
            min(allotment.share.burst, wanted.burst),
        )
        allotment.resize(lowered, now)
        state.leasing.next_try[workspace.name] = now + state.random.random()
    return effects + publish_holds(state)


def publish_holds(state: NodeState) -> Effects:
    """Tell the fleet for which workspaces this host lends, if that has changed."""
    by_workspace: dict[WorkspaceId, list[Allotment]] = {}
    for allotment in state.allotments.values():
        by_workspace.setdefault(allotment.id.workspace, []).append(allotment)
    state.allotments_by_workspace = by_workspace
    holds = tuple(sorted(by_workspace))
    if holds == state.members.own.holds:
        return []
    state.members.update_own(holds=holds)
    return gossip.announce(state)


def observe_rows(state: NodeState, rows: tuple[Row, ...], now: float) -> None:
    """Note since when each row has been at its version, on this node's clock.

    The row may have been written at any time up to the answer, so it counts from then.
    """
    for row in rows:
        seen = state.leasing.observed.get(row.key)
        if seen is None or seen.version != row.version:
            fresh = Observation(version=row.version, since=now)
            state.leasing.observed[row.key] = fresh


def _is_due(state: NodeState, workspace: WorkspaceSpec, now: float) -> bool:
    if workspace.name in state.leasing.busy:
        return False
    if now < state.leasing.next_try.get(workspace.name, 0.0):
        return False
    placement = place_allotments(state, workspace)
    share = desired_share(workspace, placement.total)
    held = [state.allotments.get(place) for place in placement.places_of(state.host)]
    return any(
        each is None
        or now - each.renewed_at > RENEW_INTERVAL_S
        or not _same_share(each.share, share)
        for each in held
    ) or any(
        now - each.renewed_at > RENEW_INTERVAL_S
        for each in state.allotments_by_workspace.get(workspace.name, [])
    )


def _plan(
    state: NodeState, workspace: WorkspaceSpec, rows: tuple[Row, ...], now: float
) -> _LeasePlan:
    placement = place_allotments(state, workspace)
    present = {row.key for row in rows}
    granted = _granted(workspace, rows)
    ceiling = workspace.burst + SHARE_TOLERANCE
    busy = {row.key: row for row in rows if not _is_free(state, row, now)}
    parsed = {key: AllotmentRow.parse(row.value) for key, row in busy.items()}
    counted = {key: row for key, row in parsed.items() if row is not None}
    own = {key for key, row in counted.items() if _is_own(state, row)}
    others = {key: row for key, row in counted.items() if key not in own}
    earlier = [place for key in sorted(own) if (place := AllotmentId.parse(key))]
    pending: list[PendingLease] = []
    for place in dict.fromkeys([*placement.places_of(state.host), *earlier]):
        if place.row in others:
            continue
        share = allowed_share(workspace, placement.total, others)
        if share.rate_per_s <= 0 or share.burst <= 0:
            continue
        others[place.row] = _row(state, share)
        before = place.row in own and place not in state.allotments
        full = place.row not in present and granted + share.burst <= ceiling
        granted += share.burst if full else 0.0
        pending.append(PendingLease(place, share, before, full))
    held = sum(row.burst for row in others.values())
    return _LeasePlan(pending, max(granted, held))


def _granted_key(workspace: WorkspaceSpec) -> str:
    return f"{ROW_PREFIX}{workspace.name}/{GRANTED_ROW}"


def _granted(workspace: WorkspaceSpec, rows: tuple[Row, ...]) -> float:
    """Return the burst that has been granted in full buckets so far."""
    key = _granted_key(workspace)
    row = next((row for row in rows if row.key == key), None)
    if row is None:
        return 0.0
    value = row.value.get(GRANTED_ROW)
    return float(value) if isinstance(value, int | float) else workspace.burst


def _conditions(rows: tuple[Row, ...], writes: list[Write]) -> tuple[Condition, ...]:
    versions = {row.key: row.version for row in rows}
    for each in writes:
        versions.setdefault(each.key, ABSENT)
    return tuple(Condition(key, version) for key, version in versions.items())


def _is_own(state: NodeState, row: AllotmentRow) -> bool:
    """Tell whether a row is of this host, from this or an earlier start.

    An earlier start is over, because this one has bound its address.
    """
    return row.holder == state.host and row.address == state.address


def _is_free(state: NodeState, row: Row, now: float) -> bool:
    seen = state.leasing.observed.get(row.key)
    if seen is None or seen.version != row.version:
        return False
    return now - seen.since > TAKEOVER_S


def _row(state: NodeState, share: Share) -> AllotmentRow:
    return AllotmentRow(
        state.host, state.address, state.incarnation, share.rate_per_s, share.burst
    )


def _encode(state: NodeState, pending: PendingLease) -> dict[str, object]:
    return _row(state, pending.share).encode()


def _hold(
    state: NodeState, pending: PendingLease, lease_ends: float, now: float
) -> Effects:
    held = state.allotments.get(pending.place)
    if held is not None:
        held.lease_ends = lease_ends
        held.renewed_at = now
        held.resize(pending.share, now)
        return []
    # loans of an earlier start may still be spent, so its tokens begin after them
    starts = now + LOAN_LIFETIME_S + LOAN_MARGIN_S if pending.own_before else now
    allotment = Allotment(
        id_=pending.place, share=pending.share, lease_ends=lease_ends, now=starts
    )
    allotment.renewed_at = now
    if pending.starts_full:
        allotment.bucket.tokens = pending.share.burst
    state.allotments[pending.place] = allotment
    fields: dict[str, object] = {
        "allotment": pending.place.row,
        "rate": pending.share.rate_per_s,
        "burst": pending.share.burst,
    }
    return [Log(Part.RATE, "Holds an allotment.", fields)]


def _drop_lapsed(state: NodeState, now: float) -> Effects:
    lapsed = [a for a in state.allotments.values() if not a.is_held(now)]
    effects: Effects = []
    for allotment in lapsed:
        del state.allotments[allotment.id]
        fields: dict[str, object] = {"allotment": allotment.id.row}
        effects.append(Log(Part.RATE, "Lost an allotment; its lease ended.", fields))
    return effects + publish_holds(state) if lapsed else effects


def _release_settled(state: NodeState) -> Effects:
    """Hand back allotments without open loans, while the node stops."""
    effects: Effects = []
    for allotment in list(state.allotments.values()):
        if not allotment.loans:
            effects.append(_release(state, allotment))
    return effects + publish_holds(state) if effects else effects


def _release(state: NodeState, allotment: Allotment) -> Transact:
    del state.allotments[allotment.id]
    row = allotment.id.row
    return Transact(
        Ticket(Purpose.RELEASE, allotment.id.workspace),
        (Condition(row, allotment.version),),
        (Write(row, None),),
    )


def _same_share(left: Share, right: Share) -> bool:
    rate = abs(left.rate_per_s - right.rate_per_s)
    burst = abs(left.burst - right.burst)
    return max(rate, burst) <= SHARE_TOLERANCE


def _jitter(state: NodeState) -> float:
    return RETRY_INTERVAL_S * (0.1 + state.random.random())
