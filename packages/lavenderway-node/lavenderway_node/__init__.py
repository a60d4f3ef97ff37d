"""The lavenderway node process: network I/O and timers around the core reducer."""
