"""Unit tests of lavenderway_core."""
