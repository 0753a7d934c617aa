"""Compares the orders, transactions and audit rows of three entry VMs with a transcript."""

from __future__ import annotations

import testtools

from celerystack import ids
from celerystack.config import derive
from celerystack.state import codec, keys
from standins import control_simulation
from tests.golden import transcripts

SERVER = """
[server.{name}]
service = "browse"
zone = "{zone}"
address = "127.0.0.1:{port}"
"""
CONFIG = '[service.browse]\nprefixes = ["/browse/"]\nshards = 6\nchecks_token = true\n' + "".join(
    SERVER.format(name=name, zone=zone, port=port)
    for name, zone, port in (("b1", "z1", 9001), ("b2", "z1", 9002), ("b3", "z2", 9003))
)


class ControlSessionTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.simulation = control_simulation.ControlSimulation(
            zones_by_vm={"e1": "z1", "e2": "z1", "e3": "z2"}, servers=["b1", "b2", "b3"]
        )
        for patch in self.simulation.patches():
            patch.start()
            self.addCleanup(patch.stop)
        head = codec.ConfigHead(
            version=ids.ConfigVersion(1),
            sha256_by_file={"10.toml": derive.sha256(CONFIG)},
            snapshot="",
        )
        self.simulation.table.put(keys.config_file("10.toml"), CONFIG.encode())
        self.simulation.table.put(keys.CONFIG_HEAD, codec.encode_fields(head))

    def test_session(self) -> None:
        """Guards against unintended changes of the orders and transactions, or of their times."""
        with self.assertNoLogs(level="ERROR"):
            self._run_session(self.simulation)

    def _run_session(self, simulation: control_simulation.ControlSimulation) -> None:
        simulation.event_log.append(
            "An order is listed once per part, with the time of the first one."
        )
        simulation.start_section("first assignment and renewal")
        simulation.start()
        simulation.run(5.0)
        simulation.start_section("b1 is lost and taken over")
        simulation.unreachable.add("b1")
        simulation.run(4.0)
        simulation.start_section("b1 returns as a new process")
        simulation.restart("b1", 2)
        simulation.run(15.0)
        simulation.start_section("an operator drains b2")
        drain_row = codec.OperatorRow(operator="ann", time_ms=1, reason="disk")
        simulation.table.put(keys.drain(ids.ServerId("b2")), codec.encode_fields(drain_row))
        simulation.run(6.0)
        rows = simulation.table.rows_by_key
        simulation.start_section("rows of servers and maps afterwards")
        shown = "".join(
            transcripts.shown_row(rows[key])
            for key in sorted(rows)
            if key.startswith((keys.SERVER_PREFIX, keys.MAP_PREFIX))
        )
        transcripts.compare("control_session", "\n".join(simulation.event_log) + "\n" + shown)
