"""Tests that the mutants match the current source code."""

import unittest
from pathlib import Path

from lavenderway_dev.mutation import MUTANTS, load_mutants


class Mutants(unittest.TestCase):
    """A mutant whose text is missing or ambiguous would test nothing."""

    def test_replaced_text_occurs_exactly_once(self) -> None:
        for mutant in load_mutants(MUTANTS):
            with self.subTest(mutant.name):
                text = Path(mutant.file).read_text(encoding="utf-8")
                self.assertEqual(1, text.count(mutant.old))
