"""Tests of end to end."""
