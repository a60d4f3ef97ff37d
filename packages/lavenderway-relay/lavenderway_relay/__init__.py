"""Data path of a node: admission, routing, rate limits and retries of requests."""
