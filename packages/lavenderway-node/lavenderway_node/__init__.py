"""The lavenderway node: sockets, timers and clients around the decisions."""
