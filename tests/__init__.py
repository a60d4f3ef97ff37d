"""Tests of lavenderway."""
