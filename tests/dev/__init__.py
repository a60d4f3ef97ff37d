"""Tests of dev."""
