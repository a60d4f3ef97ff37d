"""Invariants under failure, each tested by scenarios on the simulation."""

from __future__ import annotations

from tests.scenarios.support import ScenarioCase


class WorkspaceRates(ScenarioCase):
    """A workspace never exceeds its rate and burst over the whole fleet."""

    def test_frozen_allotment_holder(self) -> None:
        self.run_scenario("rates_frozen_holder")

    def test_partition_during_table_outage(self) -> None:
        self.run_scenario("rates_cut_and_outage")

    def test_lost_commit_responses_and_restart(self) -> None:
        self.run_scenario("rates_lost_answers_and_restart")

    def test_lowered_rate(self) -> None:
        self.run_scenario("rates_lowered")

    def test_moving_demand(self) -> None:
        self.run_scenario("rates_moving_demand")


class ConfigurationChanges(ScenarioCase):
    """An accepted configuration takes effect on all hosts and never reverts."""

    def test_partition_and_table_outage(self) -> None:
        self.run_scenario("config_outage")


class WithdrawnKeys(ScenarioCase):
    """A withdrawn key is refused within seconds, also during a partition."""

    def test_withdrawn_key(self) -> None:
        self.run_scenario("key_withdrawn")

    def test_withdrawn_key_during_partition(self) -> None:
        self.run_scenario("key_withdrawn_in_cut")


class AtMostOnceExecution(ScenarioCase):
    """A non-idempotent request runs at most once.

    A request refused as `not-run` has not run on any upstream.
    """

    def test_kill_and_freeze(self) -> None:
        self.run_scenario("once_kill_and_freeze")

    def test_lost_commit_responses(self) -> None:
        self.run_scenario("once_lost_answers")

    def test_broken_upstream(self) -> None:
        self.run_scenario("once_broken_upstream")

    def test_partition(self) -> None:
        self.run_scenario("once_cut")

    def test_frozen_upstream(self) -> None:
        self.run_scenario("once_frozen_upstream")


class RetryBudgets(ScenarioCase):
    """Retries stay within their budget when all upstreams fail."""

    def test_all_upstreams_fail(self) -> None:
        self.run_scenario("retries_bounded")


class LeavingUpstreams(ScenarioCase):
    """A leaving upstream starts no new request after half a second."""

    def test_leaving_upstream(self) -> None:
        self.run_scenario("leave_upstream")

    def test_leaving_upstream_during_partition(self) -> None:
        self.run_scenario("leave_in_cut")


class GracefulShutdown(ScenarioCase):
    """Graceful shutdowns of one host after another break no request."""

    def test_hosts_stop_one_after_another(self) -> None:
        self.run_scenario("stop_rolling")


class SheddingByImportance(ScenarioCase):
    """Under overload, requests of low importance are shed first."""

    def test_twice_the_capacity(self) -> None:
        self.run_scenario("important_last")
