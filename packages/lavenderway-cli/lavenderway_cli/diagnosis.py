"""Explains a request from the logs of the nodes: its outcome, its path and the causes.

Follows the procedures of docs/OPERATIONS.md. A root request often fails because of one
of its calls, so the explanation ends with the deepest call that failed. What is not in
the logs, such as lines left out under load, is not guessed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

EVIDENCE_S = 5.0  # before a request, in which state changes are taken as evidence
LOADED = 1.0  # demand relative to the slots
_END_EVENTS = ("request.refused", "request.answered")
_UPSTREAM_FAILURES = (
    "upstream.broken",
    "upstream.unusable",
    "upstream.rejected",
    "upstream.unreachable",
    "upstream.misdirected",
    "upstream.overdue",
)
_HOST_EVENTS = (
    "node.stopping",
    "node.stopped",
    "node.lagging",
    "upstream.announced",
    "upstream.silent",
    "upstream.leaving",
    "upstream.limit_changed",
)

Record = dict[str, Any]


class Diagnosis(NamedTuple):
    """Explanation of a request.

    Attributes:
        request: ID of the request that is explained: the deepest call that failed, or
            the request itself.
        outcome: What its caller got.
        causes: What the logs show to have caused this, most direct first.
        evidence: The records that show it, in order of time.

    """

    request: str
    outcome: str
    causes: list[str]
    evidence: list[Record]


class _Case(NamedTuple):
    """A request that is being explained.

    Attributes:
        records: All records, in order of time.
        end: Last record of the request's end.
        own: Records that name the request.

    """

    records: list[Record]
    end: Record
    own: list[Record]

    def find_before(
        self, events: Iterable[str], *, hosts: Iterable[str] | None = None
    ) -> list[Record]:
        """Return the state changes shortly before the end, at some hosts or at all."""
        names, end_time = frozenset(events), float(self.end["time"])
        places = None if hosts is None else frozenset(hosts)
        return [
            record
            for record in self.records
            if record["event"] in names
            and end_time - EVIDENCE_S <= float(record["time"]) <= end_time
            and (places is None or record.get("host") in places)
        ]

    def find_lost_peers(self, hosts: Iterable[str]) -> list[Record]:
        """Return the records in which the entry node lost some hosts."""
        places = frozenset(hosts)
        lost = self.find_before(("peer.lost",), hosts=[str(self.end.get("host"))])
        return [record for record in lost if record.get("peer") in places]


_Explanation = tuple[list[str], list["Record"]]
_EXPLAINERS: dict[str, Callable[[_Case], _Explanation]] = {}


def _explains(
    *reasons: str,
) -> Callable[[Callable[[_Case], _Explanation]], Callable[[_Case], _Explanation]]:
    """Return a decorator that registers how refusals with some reasons are explained.

    The function returns the causes and the records that show them.
    """

    def register(
        explain: Callable[[_Case], _Explanation],
    ) -> Callable[[_Case], _Explanation]:
        for reason in reasons:
            _EXPLAINERS[reason] = explain
        return explain

    return register


def diagnose(records: list[Record], request_id: str) -> Diagnosis | None:
    """Explain a request; None if no record names its end.

    Args:
        records: Records of all nodes, in order of time.
        request_id: ID of the request.

    """
    end = _find_end(records, request_id)
    if end is None:
        return None
    failed_call = _find_failed_call(records, end)
    if failed_call is not None:
        explained = failed_call
        causes = [f"its call {failed_call['request']} failed"]
    else:
        explained, causes = end, []
    own = [each for each in records if each.get("request") == explained["request"]]
    case = _Case(records, explained, own)
    if explained["event"] == "request.answered":
        found = _explain_response(case)
    else:
        explain = _EXPLAINERS.get(str(explained.get("reason")), _explain_other)
        found = explain(case)
    evidence = {id(each): each for each in (end, explained, *found[1])}
    return Diagnosis(
        str(explained["request"]),
        _describe_end(end),
        [*causes, *found[0]],
        sorted(evidence.values(), key=lambda each: float(each["time"])),
    )


def _find_end(records: list[Record], request_id: str) -> Record | None:
    ends = [
        record
        for record in records
        if record["event"] in _END_EVENTS and record.get("request") == request_id
    ]
    return ends[-1] if ends else None


def _find_failed_call(records: list[Record], end: Record) -> Record | None:
    """Return the end of the deepest call that failed last; None without one.

    A refusal of the node itself has no failed calls, unless the upstream has run it.
    """
    if end["event"] == "request.answered" and int(end.get("status", 0)) < 500:
        return None
    prefix = f"{end['request']}."
    failed = [
        record
        for record in records
        if str(record.get("request") or "").startswith(prefix)
        and (
            record["event"] == "request.refused"
            or (
                record["event"] == "request.answered"
                and int(record.get("status", 0)) >= 500
            )
        )
    ]
    if not failed:
        return None
    return max(
        failed,
        key=lambda record: (record["request"].count("."), float(record["time"])),
    )


def _describe_end(end: Record) -> str:
    if end["event"] == "request.answered":
        return f"answered with status {end.get('status')} after {end.get('ms')} ms"
    return f"refused by its entry node {end.get('host')}: {end.get('reason')}"


def _explain_response(case: _Case) -> _Explanation:
    """Explain a response, which may have been late, by the slowest calls."""
    prefix = f"{case.end['request']}."
    calls = [
        record
        for record in case.records
        if record["event"] == "request.answered"
        and str(record.get("request") or "").startswith(prefix)
    ]
    repeats = [each for each in case.own if each["event"] == "request.repeated"]
    causes = [
        f"sent again after {each.get('peer')} gave: {each.get('cause')}"
        for each in repeats
    ]
    if not calls:
        return [*causes, "the logs show no calls of it"], repeats
    slowest = max(calls, key=lambda record: float(record.get("ms", 0.0)))
    causes.append(
        f"of its {len(calls)} logged calls, {slowest['request']} took longest:"
        f" {slowest.get('ms')} ms"
    )
    return causes, [*repeats, slowest]


@_explains("over-rate")
def _explain_rate(case: _Case) -> _Explanation:
    owners = [str(each) for each in case.end.get("keepers") or []]
    causes = [
        f"workspace {case.end.get('workspace')} had no token left at"
        f" {case.end.get('host')} and its token owners"
        f" ({', '.join(owners) or 'none asked'})"
    ]
    lost = case.find_lost_peers(owners)
    causes += [f"token owner {each.get('peer')} could not be asked" for each in lost]
    moved = case.find_before(
        ("keepers.changed",), hosts=[*owners, str(case.end.get("host"))]
    )
    causes += [
        f"the tokens moved as the fleet changed to {each.get('hosts')} hosts,"
        f" seen by {each.get('host')}"
        for each in moved
    ]
    return causes, [*lost, *moved]


@_explains("shed")
def _explain_shedding(case: _Case) -> _Explanation:
    shed = [each for each in case.own if each["event"] == "request.shed"]
    if not shed:
        return ["a service that it needs is overloaded; no line names it"], []
    service = shed[-1].get("service")
    causes = [
        f"service {service} accepts positions below {shed[-1].get('level')},"
        f" the request has {shed[-1].get('position')}"
    ]
    hosts = {
        str(record.get("host"))
        for record in case.records
        if record["event"] == "node.started" and record.get("service") == service
    }
    lowered = case.find_before(("level.lowered",), hosts=hosts)
    latest = {str(each.get("host")): each for each in lowered}
    causes += [
        f"{host}: demand {each.get('demand')} of its slots"
        + (" (too much load)" if float(each.get("demand", 0.0)) > LOADED else "")
        + f", mean run time {each.get('mean_ms')} ms"
        for host, each in latest.items()
    ]
    return causes, [*shed, *latest.values()]


@_explains("no-room", "no-upstream", "expired", "stopping")
def _explain_missing_room(case: _Case) -> _Explanation:
    hosts = [str(each) for each in case.end.get("hosts") or []]
    causes = []
    if hosts:
        causes.append(
            f"tried {', '.join(hosts)}; the last one said: {case.end.get('cause')}"
        )
    places = hosts or [
        str(record.get("host"))
        for record in case.records
        if record["event"] == "upstream.announced"
    ]
    if case.end.get("reason") == "stopping":
        places = [*places, str(case.end.get("host"))]
    changes = [*case.find_before(_HOST_EVENTS, hosts=places)]
    lost = case.find_lost_peers(places)
    causes += [f"{each.get('peer')} was out of reach" for each in lost]
    causes += [_describe_change(each) for each in changes]
    return causes or ["the logs show no change of the hosts before it"], [
        *lost,
        *changes,
    ]


@_explains("unknown", "timed-out", "interrupted")
def _explain_unknown(case: _Case) -> _Explanation:
    hosts = [str(each) for each in case.end.get("hosts") or []]
    failures = [each for each in case.own if each["event"] in _UPSTREAM_FAILURES]
    interrupted = [each for each in case.own if each["event"] == "request.interrupted"]
    causes = [
        f"at {each.get('host')}: {each['event']} ({each.get('detail')})"
        for each in failures
    ]
    evidence = [*failures, *interrupted]
    if interrupted:
        hosts += [str(each) for each in interrupted[-1].get("peers") or []]
        stops = case.find_before(("node.stopping",), hosts=[str(case.end.get("host"))])
        causes.append(
            f"its entry node {case.end.get('host')} exited while it ran at"
            f" {', '.join(hosts) or 'no host'}"
        )
        evidence += stops
    if not failures:
        lost = case.find_lost_peers(hosts)
        causes += [
            f"{each.get('peer')} was lost ({each.get('error')})" for each in lost
        ]
        evidence += lost
    return causes or ["no line of the hosts that had it says what happened"], evidence


def _explain_other(case: _Case) -> _Explanation:
    faults = [each for each in case.own if each["event"] == "request.fault"]
    return [str(each.get("error")) for each in faults], faults


def _describe_change(record: Record) -> str:
    details = {
        "upstream.announced": f"its upstream became {record.get('status')}",
        "upstream.limit_changed": (
            f"its upstream named a limit of {record.get('limit_per_s')} a second"
        ),
        "upstream.leaving": "its upstream said that it leaves",
        "upstream.silent": "its upstream announced nothing more",
        "node.lagging": f"its node lacked processor time ({record.get('lag_ms')} ms)",
        "node.stopping": "its node was told to stop",
        "node.stopped": "its node stopped",
    }
    return f"{record.get('host')}: {details[record['event']]}"
