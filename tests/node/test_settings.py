"""Tests of the checked settings."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

from lavenderway_node.settings import Settings, load_settings
from returns.result import Failure, Success

if TYPE_CHECKING:
    from lavenderway_core.validation import Finding

GOOD = """
host = "h-1"
failure_domain = "saskatoon"
[listen]
callers = "127.0.0.1:1001"
peers = "127.0.0.1:1002"
operators = "127.0.0.1:1003"
upstreams = "127.0.0.1:1004"
[secrets]
fleet_file = "fleet"
operator_file = "operator"
[platform]
url = "http://127.0.0.1:1005/"
[statsd]
address = "127.0.0.1:8125"
"""


class SettingsTest(unittest.TestCase):
    """All mistakes are reported together, with their places."""

    def setUp(self) -> None:
        """Write secrets."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "fleet").write_text("a" * 32 + "\n" + "b" * 40)
        (self.folder / "operator").write_text("c" * 32)
        (self.folder / "short").write_text("abc")

    def load(self, text: str) -> Settings | tuple[Finding, ...]:
        """Load settings from text."""
        path = self.folder / "node.toml"
        path.write_text(text)
        match load_settings(path):
            case Success(Settings() as settings):
                return settings
            case Failure(findings):
                return tuple(findings)
        raise AssertionError

    def places(self, text: str) -> list[str]:
        """Return the key paths of the findings."""
        found = self.load(text)
        assert not isinstance(found, Settings)
        return [finding.place.split(": ", 1)[1] for finding in found]

    def test_good_settings(self) -> None:
        settings = self.load(GOOD)
        assert isinstance(settings, Settings), settings
        self.assertEqual("127.0.0.1:1002", str(settings.listeners.peers))
        self.assertEqual((b"a" * 32, b"b" * 40), settings.fleet_secrets)
        self.assertEqual("http://127.0.0.1:1005", settings.platform)

    def test_five_mistakes_at_once(self) -> None:
        text = (
            GOOD.replace('host = "h-1"', 'host = "H 1"')
            .replace("127.0.0.1:1001", "localhost:1001")
            .replace('"operator"', '"short"')
            .replace("http://127.0.0.1:1005/", "ftp://x")
            .replace("[statsd]\naddress", "[statsd]\nadress")
        )
        self.assertEqual(
            [
                "host",
                "listen.callers",
                "platform.url",
                "secrets.operator_file",
                "statsd.adress",
            ],
            sorted(self.places(text)),
        )

    def test_missing_and_unknown(self) -> None:
        places = self.places("colour = 1\n[listen]\n")
        for place in (
            "host",
            "failure_domain",
            "colour",
            "listen.peers",
            "platform.url",
        ):
            self.assertIn(place, places)

    def test_wrong_type_of_section(self) -> None:
        self.assertIn(
            "listen", self.places(GOOD.replace("[listen]", "listen = 3\n[x]"))
        )

    def test_syntax_error_names_the_line(self) -> None:
        found = self.load("host = \n")
        assert not isinstance(found, Settings)
        self.assertIn("line 1", str(found[0]))

    def test_absent_file(self) -> None:
        result = load_settings(self.folder / "none.toml")
        self.assertIsInstance(result, Failure)
