"""Tests that the platform's names stay in the adapter."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PRODUCT = (
    "packages/lavenderway-core/lavenderway_core",
    "packages/lavenderway-relay/lavenderway_relay",
    "packages/lavenderway-node/lavenderway_node",
    "packages/lavenderway-cli/lavenderway_cli",
)
ADAPTER = "platform/lavenderway_platform"
PLATFORM_NAMES = re.compile(
    r"attempt-id|deadline-ms|server-signature|not-executed|expected-instance"
    r"|caller-service|tenant|api-key|readyz|rows-(tx|get|feed)|instances\."
    r"|sidecar|traffic-split|max-attempts|target-latency|control-plane|node-name"
    r"|heartbeat-endpoint|app-address|quota-tolerance|\bzone\b",
    re.IGNORECASE,
)


def read_sources(folder: str) -> dict[Path, str]:
    """Return the text of each source file below a folder."""
    paths = (ROOT / folder).rglob("*.py")
    return {path: path.read_text(encoding="utf-8") for path in paths}


class PlatformNames(unittest.TestCase):
    """Only the adapter names what is the platform's."""

    def test_the_product_uses_its_own_names(self) -> None:
        for folder in PRODUCT:
            for path, text in read_sources(folder).items():
                with self.subTest(path=path):
                    found = PLATFORM_NAMES.search(text)
                    self.assertIsNone(found, found)

    def test_the_adapter_is_small(self) -> None:
        sizes = {
            folder: sum(text.count("\n") for text in read_sources(folder).values())
            for folder in (*PRODUCT, ADAPTER)
        }
        self.assertLess(sizes[ADAPTER], sum(sizes.values()) / 10)
