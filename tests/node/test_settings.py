"""Tests of the validation of settings."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING

from lavenderway_node.settings import Settings, load_settings
from returns.result import Failure, Success

if TYPE_CHECKING:
    from lavenderway_core.validation import Finding

VALID_SETTINGS = """
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
    """All errors of a settings file are reported at once, with their key paths."""

    def setUp(self) -> None:
        """Write the files with secrets."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        (self.directory / "fleet").write_text("a" * 32 + "\n" + "b" * 40)
        (self.directory / "operator").write_text("c" * 32)
        (self.directory / "short").write_text("abc")

    def load_text(self, text: str) -> Settings | tuple[Finding, ...]:
        """Load settings from the text of a file."""
        path = self.directory / "node.toml"
        path.write_text(text)
        match load_settings(path):
            case Success(Settings() as settings):
                return settings
            case Failure(findings):
                return tuple(findings)
        raise AssertionError

    def find_places(self, text: str) -> list[str]:
        """Return the key paths of the findings for the text of a file."""
        findings = self.load_text(text)
        assert not isinstance(findings, Settings)
        return [finding.place.split(": ", 1)[1] for finding in findings]

    def test_valid_settings_are_loaded(self) -> None:
        settings = self.load_text(VALID_SETTINGS)
        assert isinstance(settings, Settings), settings
        self.assertEqual("127.0.0.1:1002", str(settings.listeners.peers))
        self.assertEqual((b"a" * 32, b"b" * 40), settings.fleet_secrets)
        self.assertEqual("http://127.0.0.1:1005", settings.platform)

    def test_all_errors_are_reported_together(self) -> None:
        text = (
            VALID_SETTINGS.replace('host = "h-1"', 'host = "H 1"')
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
            sorted(self.find_places(text)),
        )

    def test_missing_and_unknown_keys_are_reported(self) -> None:
        places = self.find_places("colour = 1\n[listen]\n")
        for place in (
            "host",
            "failure_domain",
            "colour",
            "listen.peers",
            "platform.url",
        ):
            self.assertIn(place, places)

    def test_section_of_the_wrong_type_is_reported(self) -> None:
        self.assertIn(
            "listen",
            self.find_places(VALID_SETTINGS.replace("[listen]", "listen = 3\n[x]")),
        )

    def test_syntax_error_names_the_line(self) -> None:
        findings = self.load_text("host = \n")
        assert not isinstance(findings, Settings)
        self.assertIn("line 1", str(findings[0]))

    def test_missing_file_is_reported(self) -> None:
        result = load_settings(self.directory / "none.toml")
        self.assertIsInstance(result, Failure)
