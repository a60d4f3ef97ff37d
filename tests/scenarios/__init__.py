"""Scenario files and the tests that run them."""
