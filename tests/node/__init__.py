"""Unit tests of the node package."""
