"""Data path of a node that stands beside its upstream and relays for its callers."""
