"""Knows which failure domains are evacuated: their upstreams get no requests.

Designed for an operator who empties a failure domain under load, and for nodes that
learn of it at different times, from the store or from peers, in any order.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lavenderway_core.ids import FailureDomainId

from lavenderway_relay.revision import (
    NO_REVISION,
    Revision,
    decode_revision,
    encode_revision,
)

if TYPE_CHECKING:
    from collections.abc import Mapping


class Evacuations:
    """The evacuated failure domains, as of one revision of the store.

    Attributes:
        domains: The evacuated failure domains.
        revision: Revision of the store up to which they are known.

    """

    def __init__(self) -> None:
        self.domains: frozenset[FailureDomainId] = frozenset()
        self.revision = NO_REVISION

    def apply(
        self,
        changes: Mapping[FailureDomainId, bool],
        revision: Revision,
        *,
        complete: bool,
    ) -> bool:
        """Apply rows of the store; return whether the evacuated domains changed.

        Args:
            changes: Whether each failure domain with a row is evacuated.
            revision: Revision of the store that the rows are of.
            complete: Whether they are all rows; otherwise those that changed.

        """
        if revision <= self.revision and not complete:
            return False  # a peer has told of a newer state
        if revision < self.revision:
            return False
        self.revision = revision
        evacuated = {domain for domain, active in changes.items() if active}
        if not complete:
            evacuated |= self.domains - changes.keys()
        return self._replace(frozenset(evacuated))

    def adopt(self, domains: frozenset[FailureDomainId], revision: Revision) -> bool:
        """Take over what a peer knows, if it is newer; return whether it changed."""
        if revision <= self.revision:
            return False
        self.revision = revision
        return self._replace(domains)

    def _replace(self, domains: frozenset[FailureDomainId]) -> bool:
        changed = domains != self.domains
        self.domains = domains
        return changed


def encode_evacuations(evacuations: Evacuations) -> dict[str, Any]:
    """Return the evacuations as JSON-compatible values."""
    return {
        "revision": encode_revision(evacuations.revision),
        "domains": sorted(evacuations.domains),
    }


def decode_evacuations(
    value: object,
) -> tuple[frozenset[FailureDomainId], Revision] | None:
    """Decode the evacuations in the reply of a peer; a peer may send none.

    Raises:
        ValueError: A field is missing or has the wrong type.

    """
    if value is None:
        return None
    if not isinstance(value, dict):
        raise ValueError(f"evacuations: expected an object, got {value!r:.40}")
    domains = value.get("domains")
    if not isinstance(domains, list) or not all(
        isinstance(domain, str) for domain in domains
    ):
        raise ValueError(
            f"evacuations.domains: expected a list of strings, got {domains!r:.40}"
        )
    revision = decode_revision(value.get("revision", 0))
    return frozenset(map(FailureDomainId, domains)), revision
