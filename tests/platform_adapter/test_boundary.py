"""Tests of the boundary between the platform adapter and the product."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PRODUCT_DIRECTORIES = (
    "packages/lavenderway-core/lavenderway_core",
    "packages/lavenderway-relay/lavenderway_relay",
    "packages/lavenderway-node/lavenderway_node",
    "packages/lavenderway-cli/lavenderway_cli",
)
ADAPTER_DIRECTORY = "platform/lavenderway_platform"
PLATFORM_TERMS = re.compile(
    r"attempt-id|deadline-ms|server-signature|not-executed|expected-instance"
    r"|caller-service|tenant|api-key|readyz|rows-(tx|get|feed)|instances\."
    r"|sidecar|traffic-split|max-attempts|target-latency|control-plane|node-name"
    r"|heartbeat-endpoint|app-address|quota-tolerance|\bzone\b",
    re.IGNORECASE,
)


def read_source_files(directory: str) -> dict[Path, str]:
    """Return the text of each Python file below a directory."""
    paths = (ROOT / directory).rglob("*.py")
    return {path: path.read_text(encoding="utf-8") for path in paths}


class PlatformTerms(unittest.TestCase):
    """Terms of the platform occur in the adapter only."""

    def test_product_sources_contain_no_platform_terms(self) -> None:
        for directory in PRODUCT_DIRECTORIES:
            for path, text in read_source_files(directory).items():
                with self.subTest(path=path):
                    match = PLATFORM_TERMS.search(text)
                    self.assertIsNone(match, match)

    def test_adapter_is_less_than_a_tenth_of_the_code(self) -> None:
        line_counts = {
            directory: sum(
                text.count("\n") for text in read_source_files(directory).values()
            )
            for directory in (*PRODUCT_DIRECTORIES, ADAPTER_DIRECTORY)
        }
        self.assertLess(line_counts[ADAPTER_DIRECTORY], sum(line_counts.values()) / 10)
