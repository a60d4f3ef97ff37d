"""What programs that play seeds have in common."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lavenderway_dev.soak_checks import Finding

MAX_PRINTED_FINDINGS = 5


def pin_hash_seed(module: str) -> None:
    """Start the program anew with a fixed hash seed, unless it has one.

    The order of sets of strings depends on it.
    """
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(sys.executable, [sys.executable, "-m", module, *sys.argv[1:]])


def print_findings(seed: int, operations: list[str], findings: list[Finding]) -> bool:
    """Print what a seed has violated, if anything; return whether it has."""
    if findings:
        print(f"seed {seed}: {', '.join(operations)}")
    for finding in findings[:MAX_PRINTED_FINDINGS]:
        print(f"  {finding.invariant.name}: {finding.detail}")
    return bool(findings)
