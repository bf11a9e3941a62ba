"""Promise: lookups and status checks are shed before bookings, tickets and orders."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import Event
from time import sleep

from harness import Processes
from load_clients import LoadClients
from stock_cluster import start_stock_pair

LOAD_S = 6.0
CRITICAL_LOSS_RATIO_MAX = 0.05


class TestOverload:
    def test_critical_calls_are_served_while_lookups_are_shed(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = start_stock_pair(processes)
            ports = [instance.caller_port for instance in cluster.instances.values()]
            lookups = LoadClients(ports, ["/stock/read"], callers=40, name="lookup")
            bookings = LoadClients(ports, ["/stock/book"], callers=3, method="POST", name="booking")
            stop = Event()
            with ThreadPoolExecutor(2) as pool:
                futures = [clients.run_in_background(pool, stop) for clients in (lookups, bookings)]
                sleep(LOAD_S)
                stop.set()
                lookup_results, booking_results = (future.result() for future in futures)
            shed = len([result for result in lookup_results if not result.answered])
            lost = len([result for result in booking_results if not result.answered])
            assert shed > 50, "the load caused no overload"
            assert lost / len(booking_results) <= CRITICAL_LOSS_RATIO_MAX
            assert lost / len(booking_results) < shed / len(lookup_results)
