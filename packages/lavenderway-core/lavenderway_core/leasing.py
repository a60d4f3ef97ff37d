"""Leases for the allotments of this host.

The rate and burst of a workspace are divided into *allotments*, each of which one host
at a time holds under a lease; the *share* of an allotment is its part of the rate and
burst. The holder spends tokens from the allotment's bucket and lends some to other
hosts, as *loans* that expire.

Acquires, renews, resizes and releases allotments with transactions on the platform's
table, which has one row per allotment and one per workspace that counts granted burst.
A transaction that leases allotments is conditional on the versions of all rows of the
workspace that were read and always writes the count, so of two that were planned from
the same rows only one can be committed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from lavenderway_core import gossip
from lavenderway_core.allotments import (
    GRANTED_BURST_KEY,
    LEASE_DURATION_S,
    LEASE_MARGIN_RATIO,
    LEASE_RENEWAL_INTERVAL_S,
    LEASE_RETRY_INTERVAL_S,
    LOAN_EXPIRY_MARGIN_S,
    LOAN_LIFETIME_S,
    ROW_KEY_PREFIX,
    Allotment,
    AllotmentId,
    AllotmentRow,
    Share,
    allowed_share,
    desired_share,
)
from lavenderway_core.effects import Component, Log, ReadRows, Transact
from lavenderway_core.placement import place_allotments
from lavenderway_core.state import (
    NodeState,
    PendingLease,
    RowObservation,
)
from lavenderway_core.table import (
    ABSENT,
    Condition,
    OperationTag,
    Purpose,
    Row,
    TransactOutcome,
    Write,
)

if TYPE_CHECKING:
    from lavenderway_core.events import RowsRead, TransactionCompleted
    from lavenderway_core.ids import WorkspaceId
    from lavenderway_core.reducer import Effects
    from lavenderway_core.resources import WorkspaceSpec

# A row that stays at its version for this long may be taken over. Every write gives a
# row a new version, so a renewal prevents this. The margin covers clock drift between
# hosts.
TAKEOVER_DELAY_S = LEASE_DURATION_S * (1 + LEASE_MARGIN_RATIO)
SHARE_TOLERANCE = 1e-6  # in tokens and in tokens per second


class _LeasePlan(NamedTuple):
    """Plan of a transaction that writes allotment rows of one workspace.

    Attributes:
        pending: Allotment rows to write.
        granted: New count of the burst, in tokens, that has ever been granted to
            allotments that started with a full bucket. It is never lowered, also not
            by a release, and at least the burst of the rows of other holders and of
            this plan together.

    """

    pending: list[PendingLease]
    granted: float


def tick_leases(state: NodeState, now: float) -> Effects:
    """Drop expired allotments and start the lease transactions that are due.

    A transaction starts with a read of the workspace's rows. A draining node starts
    none. Instead it releases its allotments once they have no open loans; until then
    they are not renewed.
    """
    effects: Effects = _drop_expired(state, now)
    if state.lifecycle.draining:
        return effects + _release_without_loans(state)
    for workspace in state.configuration_store.workspaces.values():
        if _is_due(state, workspace, now):
            state.leasing.in_flight.add(workspace.name)
            state.leasing.next_attempt_at[workspace.name] = now + _retry_delay_s(state)
            effects.append(
                ReadRows(
                    OperationTag(Purpose.ALLOTMENTS, workspace.name),
                    f"{ROW_KEY_PREFIX}{workspace.name}/",
                )
            )
    return effects


def handle_allotment_rows(state: NodeState, event: RowsRead, now: float) -> Effects:
    """Plan the transaction that leases a workspace's allotments, and start it.

    If the read failed, `tick_leases` reads again after the retry delay.
    """
    name = event.tag.workspace
    workspace = None if name is None else state.configuration_store.workspaces.get(name)
    if name is None or event.rows is None or workspace is None:
        if name is not None:
            state.leasing.in_flight.discard(name)
        return []
    observe_rows(state, event.rows, now)
    plan = _plan(state, workspace, event.rows, now)
    if not plan.pending:
        state.leasing.in_flight.discard(name)
        return []
    state.leasing.pending[name] = plan.pending
    writes = [
        Write(each.allotment_id.row_key, _encode_row(state, each))
        for each in plan.pending
    ]
    granted_key = _granted_burst_key(workspace)
    writes.append(Write(granted_key, {GRANTED_BURST_KEY: plan.granted}))
    conditions = _conditions(event.rows, writes)
    return [Transact(event.tag, conditions, tuple(writes))]


def handle_allotment_transaction(
    state: NodeState, event: TransactionCompleted, now: float
) -> Effects:
    """Store the allotments that a transaction has leased, or schedule a retry.

    An unknown outcome counts as not committed; if the transaction was committed, the
    next plan finds its rows to be this host's own. The lease starts when the
    transaction was sent, on this node's clock; the interval until the renewal starts
    when it completed.
    """
    name = event.tag.workspace
    if name is None:
        return []
    state.leasing.in_flight.discard(name)
    pending = state.leasing.pending.pop(name, [])
    if event.outcome is not TransactOutcome.COMMITTED:
        state.leasing.next_attempt_at[name] = now + _retry_delay_s(state)
        return []
    effects: Effects = []
    for each in pending:
        effects += _store_allotment(
            state, each, event.requested_at + LEASE_DURATION_S, now
        )
        version = event.versions.get(each.allotment_id.row_key, ABSENT)
        state.allotments[each.allotment_id].version = version
    return effects + publish_held_workspaces(state)


def apply_rate_change(state: NodeState, now: float) -> Effects:
    """Resize held allotments after a change of configuration.

    A lower share applies at once. If a transaction planned before the change commits
    after it, the share of that plan applies until the next transaction. A higher share
    needs a table transaction, which is scheduled within the next second. Allotments of
    deleted workspaces are released, also with open loans.
    """
    effects: Effects = []
    for allotment in list(state.allotments.values()):
        workspace = state.configuration_store.workspaces.get(allotment.id.workspace)
        if workspace is None:
            effects.append(_release(state, allotment))
            continue
        desired = desired_share(workspace, place_allotments(state, workspace).total)
        lowered = Share(
            min(allotment.share.rate_per_s, desired.rate_per_s),
            min(allotment.share.burst, desired.burst),
        )
        allotment.resize(lowered, now)
        state.leasing.next_attempt_at[workspace.name] = now + state.random.random()
    return effects + publish_held_workspaces(state)


def publish_held_workspaces(state: NodeState) -> Effects:
    """Index the held allotments by workspace; announce the workspaces if changed."""
    by_workspace: dict[WorkspaceId, list[Allotment]] = {}
    for allotment in state.allotments.values():
        by_workspace.setdefault(allotment.id.workspace, []).append(allotment)
    state.allotments_by_workspace = by_workspace
    held_workspaces = tuple(sorted(by_workspace))
    if held_workspaces == state.members.own.held_workspaces:
        return []
    state.members.update_own(held_workspaces=held_workspaces)
    return gossip.announce(state)


def observe_rows(state: NodeState, rows: tuple[Row, ...], now: float) -> None:
    """Record when each row was first seen at its current version, on this node's clock.

    The version may have been written at any time until the read completed, so the wait
    before a takeover starts at `now`.
    """
    for row in rows:
        observation = state.leasing.observations.get(row.key)
        if observation is None or observation.version != row.version:
            first_seen = RowObservation(version=row.version, first_seen_at=now)
            state.leasing.observations[row.key] = first_seen


def _is_due(state: NodeState, workspace: WorkspaceSpec, now: float) -> bool:
    if workspace.name in state.leasing.in_flight:
        return False
    if now < state.leasing.next_attempt_at.get(workspace.name, 0.0):
        return False
    placement = place_allotments(state, workspace)
    share = desired_share(workspace, placement.total)
    placed = [
        state.allotments.get(allotment_id)
        for allotment_id in placement.allotments_of(state.host)
    ]
    return any(
        each is None
        or now - each.renewed_at > LEASE_RENEWAL_INTERVAL_S
        or not _same_share(each.share, share)
        for each in placed
    ) or any(
        now - each.renewed_at > LEASE_RENEWAL_INTERVAL_S
        for each in state.allotments_by_workspace.get(workspace.name, [])
    )


def _plan(
    state: NodeState, workspace: WorkspaceSpec, rows: tuple[Row, ...], now: float
) -> _LeasePlan:
    """Plan the rows of all allotments placed on this host or held by it.

    An allotment that this host holds stays with it, also if placed elsewhere. Each gets
    an equal part of the rate and burst as far as the rows of other holders and those
    planned before it leave room. It is skipped if they leave none; an existing row then
    stays unchanged. Malformed rows are not counted; those of allotments placed on this
    host are overwritten without the takeover delay.
    """
    placement = place_allotments(state, workspace)
    existing_keys = {row.key for row in rows}
    granted = _granted_burst(workspace, rows)
    burst_limit = workspace.burst + SHARE_TOLERANCE
    leased = {row.key: row for row in rows if not _is_expired(state, row, now)}
    parsed = {key: AllotmentRow.parse(row.value) for key, row in leased.items()}
    well_formed = {key: row for key, row in parsed.items() if row is not None}
    own_keys = {key for key, row in well_formed.items() if _is_own(state, row)}
    counted_rows = {key: row for key, row in well_formed.items() if key not in own_keys}
    own_ids = [
        allotment_id
        for key in sorted(own_keys)
        if (allotment_id := AllotmentId.parse(key))
    ]
    pending: list[PendingLease] = []
    for allotment_id in dict.fromkeys([*placement.allotments_of(state.host), *own_ids]):
        if allotment_id.row_key in counted_rows:
            continue
        share = allowed_share(workspace, placement.total, counted_rows)
        if share.rate_per_s <= 0 or share.burst <= 0:
            continue
        counted_rows[allotment_id.row_key] = _build_row(state, share)
        is_own_row_not_held = (
            allotment_id.row_key in own_keys and allotment_id not in state.allotments
        )
        starts_full = (
            allotment_id.row_key not in existing_keys
            and granted + share.burst <= burst_limit
        )
        granted += share.burst if starts_full else 0.0
        pending.append(
            PendingLease(allotment_id, share, is_own_row_not_held, starts_full)
        )
    leased_burst = sum(row.burst for row in counted_rows.values())
    return _LeasePlan(pending, max(granted, leased_burst))


def _granted_burst_key(workspace: WorkspaceSpec) -> str:
    return f"{ROW_KEY_PREFIX}{workspace.name}/{GRANTED_BURST_KEY}"


def _granted_burst(workspace: WorkspaceSpec, rows: tuple[Row, ...]) -> float:
    """Return the total burst granted so far to allotments that started full.

    If the stored count is malformed, the whole burst counts as granted.
    """
    key = _granted_burst_key(workspace)
    row = next((row for row in rows if row.key == key), None)
    if row is None:
        return 0.0
    value = row.value.get(GRANTED_BURST_KEY)
    return float(value) if isinstance(value, int | float) else workspace.burst


def _conditions(rows: tuple[Row, ...], writes: list[Write]) -> tuple[Condition, ...]:
    versions = {row.key: row.version for row in rows}
    for each in writes:
        versions.setdefault(each.key, ABSENT)
    return tuple(Condition(key, version) for key, version in versions.items())


def _is_own(state: NodeState, row: AllotmentRow) -> bool:
    """Return whether this host wrote a row, in this or an earlier incarnation.

    No earlier incarnation can still be running, because this one has bound the address
    that the row names. Rows that name another address count as another holder's.
    """
    return row.holder == state.host and row.address == state.address


def _is_expired(state: NodeState, row: Row, now: float) -> bool:
    observation = state.leasing.observations.get(row.key)
    if observation is None or observation.version != row.version:
        return False
    return now - observation.first_seen_at > TAKEOVER_DELAY_S


def _build_row(state: NodeState, share: Share) -> AllotmentRow:
    return AllotmentRow(
        state.host, state.address, state.incarnation, share.rate_per_s, share.burst
    )


def _encode_row(state: NodeState, pending: PendingLease) -> dict[str, object]:
    return _build_row(state, pending.share).encode()


def _store_allotment(
    state: NodeState, pending: PendingLease, lease_ends_at: float, now: float
) -> Effects:
    held = state.allotments.get(pending.allotment_id)
    if held is not None:
        held.lease_ends_at = lease_ends_at
        held.renewed_at = now
        held.resize(pending.share, now)
        return []
    # The row was this host's, but the allotment was not held when the transaction was
    # planned, as after a restart, an expired lease or an unknown outcome;
    # `held_before_restart` covers them all. Borrowers may still spend tokens that were
    # lent before, so the bucket accrues tokens only after these loans have expired.
    bucket_starts_at = (
        now + LOAN_LIFETIME_S + LOAN_EXPIRY_MARGIN_S
        if pending.held_before_restart
        else now
    )
    allotment = Allotment(
        id_=pending.allotment_id,
        share=pending.share,
        lease_ends_at=lease_ends_at,
        now=bucket_starts_at,
    )
    allotment.renewed_at = now
    if pending.starts_full:
        allotment.bucket.tokens = pending.share.burst
    state.allotments[pending.allotment_id] = allotment
    fields: dict[str, object] = {
        "allotment": pending.allotment_id.row_key,
        "rate": pending.share.rate_per_s,
        "burst": pending.share.burst,
    }
    return [Log(Component.RATE, "Acquired an allotment.", fields)]


def _drop_expired(state: NodeState, now: float) -> Effects:
    expired = [a for a in state.allotments.values() if not a.is_held(now)]
    effects: Effects = []
    for allotment in expired:
        del state.allotments[allotment.id]
        fields: dict[str, object] = {"allotment": allotment.id.row_key}
        effects.append(
            Log(Component.RATE, "Lost an allotment because its lease expired.", fields)
        )
    return effects + publish_held_workspaces(state) if expired else effects


def _release_without_loans(state: NodeState) -> Effects:
    """Release the allotments of a draining node that have no open loans."""
    effects: Effects = []
    for allotment in list(state.allotments.values()):
        if not allotment.loans:
            effects.append(_release(state, allotment))
    return effects + publish_held_workspaces(state) if effects else effects


def _release(state: NodeState, allotment: Allotment) -> Transact:
    del state.allotments[allotment.id]
    row = allotment.id.row_key
    return Transact(
        OperationTag(Purpose.RELEASE, allotment.id.workspace),
        (Condition(row, allotment.version),),
        (Write(row, None),),
    )


def _same_share(left: Share, right: Share) -> bool:
    rate_difference = abs(left.rate_per_s - right.rate_per_s)
    burst_difference = abs(left.burst - right.burst)
    return max(rate_difference, burst_difference) <= SHARE_TOLERANCE


def _retry_delay_s(state: NodeState) -> float:
    """Return a random delay of 0.1 to 1.1 retry intervals."""
    return LEASE_RETRY_INTERVAL_S * (0.1 + state.random.random())
