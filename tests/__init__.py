"""Unit, scenario and end-to-end tests."""
