"""End-to-end tests that run nodes and upstreams as separate processes."""
