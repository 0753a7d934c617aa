"""Randomized simulations of entry VMs, servers and table with fixed seeds.

Every run checks after each event that at most one server accepts requests for a shard.
"""

from __future__ import annotations

import collections

import testtools

from standins.lease_model import sim_cluster, sim_faults, sim_variants

RECOVERY_S = 5.0


class SingleOwnerTest(testtools.TestCase):
    def test_mixed_faults(self) -> None:
        """Guards against two owners of a shard, or none after recovery, under mixed faults."""
        counts: collections.Counter[str] = collections.Counter()
        for seed in range(24):
            simulation = sim_faults.run_with_faults(seed, recovery_s=RECOVERY_S)
            owned = set(simulation.owners_by_shard())
            self.assertEqual(set(simulation.shards), owned, f"seed {seed}: shards without an owner")
            counts += simulation.counts
        # The runs must have exercised each of these actions, or their result proves nothing.
        for action in (
            "takeover by promises",
            "takeover by evidence",
            "ReplaceLessors",
            "ClearPreviousLessors",
            "Reactivate",
            "finish move",
            "deputy",
        ):
            self.assertGreater(counts[action], 10, f"{action}: {counts}")

    def test_faults_aimed_at_single_rules(self) -> None:
        """Guards against two owners under the faults that expose the broken rules below."""
        for variant in sim_variants.VARIANTS_BY_NAME.values():
            if variant.scenario is not sim_faults.MIXED:
                for seed in range(5):
                    sim_faults.run_with_faults(seed, scenario=variant.scenario)


class BrokenRuleTest(testtools.TestCase):
    """The simulation must detect a violation when one rule is broken."""

    def assert_violated(self, name: str) -> None:
        variant = sim_variants.VARIANTS_BY_NAME[name]
        for seed in range(40):
            try:
                sim_faults.run_with_faults(seed, scenario=variant.scenario, rules=variant.rules)
            except sim_cluster.OverlapError:
                return
        self.fail(f"no violation found with the broken rule: {name}")

    def test_renewal_timed_from_receipt(self) -> None:
        """Guards against a check that misses a lease extended by a delayed order."""
        self.assert_violated("renewal timed from receipt")

    def test_majority(self) -> None:
        """Guards against a check that misses renewals by a lessor that did not promise."""
        self.assert_violated("majority of promises")

    def test_previous_lessors_ignored(self) -> None:
        """Guards against a check that misses renewals by a replaced lessor."""
        self.assert_violated("previous lessors ignored")

    def test_previous_lessors_cleared_early(self) -> None:
        """Guards against a check that passes without the acknowledgement of the new token."""
        self.assert_violated("previous lessors cleared early")

    def test_deputies_ignored(self) -> None:
        """Guards against a check that misses renewals by a deputy."""
        self.assert_violated("deputies ignored")

    def test_deputies_of_older_tokens_not_named(self) -> None:
        """Guards against a check that misses renewals by a deputy that has an older token."""
        self.assert_violated("deputies of older tokens not named")

    def test_promise_not_sticky(self) -> None:
        """Guards against a check that misses renewals by a lessor after its promise."""
        self.assert_violated("promise not sticky")

    def test_grant_to_any_process(self) -> None:
        """Guards against a check that misses an outdated list of shards on a restarted server."""
        self.assert_violated("grant to any process")


class LivenessTest(testtools.TestCase):
    TARGET_S = 2.0

    def recovery_time_s(self, seed: int, *, suspend: bool) -> float:
        """Return the simulated time until the shards of a lost server have an owner again."""
        simulation = sim_cluster.LeaseSimulation(seed, loss=0.02)
        simulation.run(2.0 + simulation.rng.random())
        host = simulation.servers[simulation.server_ids[seed % 3]]
        if suspend:
            host.pause()
        else:
            host.lose()
        start = simulation.scheduler.time
        while set(simulation.owners_by_shard()) != set(simulation.shards):
            if simulation.scheduler.time - start >= self.TARGET_S:
                self.fail(f"seed {seed}: no owner after {self.TARGET_S} s")
            simulation.run(0.01)
        return simulation.scheduler.time - start

    def test_suspended_server_is_taken_over(self) -> None:
        """Guards against a takeover that needs evidence although all lessors reply."""
        for seed in range(20):
            self.assertGreater(self.recovery_time_s(seed, suspend=True), 0.0)

    def test_lost_server_is_taken_over(self) -> None:
        """Guards against a takeover of a lost server that takes longer than `TARGET_S`."""
        for seed in range(20):
            self.assertGreater(self.recovery_time_s(seed, suspend=False), 0.0)


class OutageTest(testtools.TestCase):
    def test_rolling_replacement_of_all_entry_vms(self) -> None:
        """Guards against leases that expire because all lessors are replaced in a table outage."""
        for seed in range(4):
            simulation = sim_cluster.LeaseSimulation(seed, loss=0.02)
            simulation.run(2.0)
            simulation.table.start_outage(20.0)
            for vm in list(simulation.vms):
                simulation.run(2.5)
                simulation.start_vm(vm)
            for _ in range(20):
                simulation.run(0.1)
                self.assertEqual(
                    set(simulation.shards), set(simulation.owners_by_shard()), f"seed {seed}"
                )

    def test_all_entry_vms_replaced_at_once(self) -> None:
        """Guards against shards that stay without an owner after all lessors were lost."""
        for seed in range(4):
            simulation = sim_cluster.LeaseSimulation(seed, loss=0.02)
            simulation.run(2.0)
            for vm in list(simulation.vms):
                simulation.start_vm(vm)
            simulation.run(3.0)
            self.assertEqual(
                set(simulation.shards), set(simulation.owners_by_shard()), f"seed {seed}"
            )

    def test_restarted_server_waits_for_the_table(self) -> None:
        """Guards against a grant to a process that the row does not name, even in an outage."""
        simulation = sim_cluster.LeaseSimulation(1, loss=0.02)
        simulation.run(2.0)
        simulation.table.start_outage(4.0)
        host = simulation.servers[simulation.server_ids[0]]
        host.start()
        simulation.run(3.5)
        self.assertEqual(set(), host.accepted_shards())
        simulation.run(2.0)
        self.assertEqual(set(simulation.shards), set(simulation.owners_by_shard()))


class StoppedClockTest(testtools.TestCase):
    """A lease is only safe if the clock of the server that holds it keeps running."""

    def suspend_server(self, *, stops_clock: bool) -> None:
        simulation = sim_cluster.LeaseSimulation(3, loss=0.0)
        simulation.run(2.0)
        host = simulation.servers[simulation.server_ids[0]]
        host.pause(stops_clock=stops_clock)
        simulation.run(3.0)
        self.assertEqual(set(simulation.shards), set(simulation.owners_by_shard()))
        host.resume()
        simulation.run(2.0)

    def test_clock_runs_during_the_pause(self) -> None:
        """Guards against a suspended server that accepts requests after it was taken over."""
        self.suspend_server(stops_clock=False)

    def test_clock_stops_during_the_pause(self) -> None:
        """Guards against a simulation in which a server's clock has no influence.

        A server whose monotonic clock stops while its VM is paused accepts requests for what is
        left of its lease after it resumes. Servers need a clock that counts suspended time.
        """
        self.assertRaises(sim_cluster.OverlapError, self.suspend_server, stops_clock=True)
