"""Proofs of what must always hold, as scenarios under failure."""

from __future__ import annotations

from tests.scenarios.support import ScenarioCase


class RatesProof(ScenarioCase):
    """No workspace gets more than its rate and burst over all hosts together."""

    def test_frozen_holder(self) -> None:
        self.prove("rates_frozen_holder")

    def test_cut_and_outage(self) -> None:
        self.prove("rates_cut_and_outage")

    def test_lost_answers_and_restart(self) -> None:
        self.prove("rates_lost_answers_and_restart")

    def test_lowered(self) -> None:
        self.prove("rates_lowered")

    def test_moving_demand(self) -> None:
        self.prove("rates_moving_demand")


class ConfigurationProof(ScenarioCase):
    """An accepted configuration is in force everywhere and never reverts."""

    def test_outage(self) -> None:
        self.prove("config_outage")


class KeysProof(ScenarioCase):
    """A withdrawn key stops working within seconds."""

    def test_withdrawn(self) -> None:
        self.prove("key_withdrawn")

    def test_withdrawn_in_cut(self) -> None:
        self.prove("key_withdrawn_in_cut")


class OnceProof(ScenarioCase):
    """A non-idempotent request runs at most once, and every not-run is true."""

    def test_kill_and_freeze(self) -> None:
        self.prove("once_kill_and_freeze")

    def test_lost_answers(self) -> None:
        self.prove("once_lost_answers")

    def test_broken_upstream(self) -> None:
        self.prove("once_broken_upstream")

    def test_cut(self) -> None:
        self.prove("once_cut")

    def test_frozen_upstream(self) -> None:
        self.prove("once_frozen_upstream")


class RetriesProof(ScenarioCase):
    """Retries are bounded end to end."""

    def test_bounded(self) -> None:
        self.prove("retries_bounded")


class LeavingProof(ScenarioCase):
    """A leaving upstream gets no new work after a few seconds."""

    def test_leave(self) -> None:
        self.prove("leave_upstream")

    def test_leave_in_cut(self) -> None:
        self.prove("leave_in_cut")


class StoppingProof(ScenarioCase):
    """A planned stop is a graceful shutdown and cuts no request."""

    def test_rolling(self) -> None:
        self.prove("stop_rolling")


class ImportanceProof(ScenarioCase):
    """Important requests are shed last."""

    def test_important_last(self) -> None:
        self.prove("important_last")
