"""Tests of scenarios."""
