"""Command line with which operators manage lavenderway nodes."""
