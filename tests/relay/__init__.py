"""Tests of the data path of a node."""
