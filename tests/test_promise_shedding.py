"""Promise: bookings, tickets and orders are shed after lookups and status checks."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import Event
from time import sleep

from crowd import Crowd
from harness import Processes
from stock_cluster import two_of_stock

LOAD_S = 6.0
CRITICAL_LOST_PART = 0.05


class TestOverload:
    """More calls than the targets can serve."""

    def test_critical_calls_are_served_while_lookups_are_shed(self, tmp_path: Path) -> None:
        with Processes(tmp_path) as processes:
            cluster = two_of_stock(processes)
            ports = [instance.callers for instance in cluster.instances.values()]
            lookups = Crowd(ports, ["/stock/read"], callers=40, name="lookup")
            bookings = Crowd(ports, ["/stock/book"], callers=3, method="POST", name="booking")
            stop = Event()
            with ThreadPoolExecutor(2) as pool:
                running = [crowd.run_beside(pool, stop) for crowd in (lookups, bookings)]
                sleep(LOAD_S)
                stop.set()
                looked, booked = (future.result() for future in running)
            shed = len([told for told in looked if not told.answered])
            lost = len([told for told in booked if not told.answered])
            assert shed > 50, "no overload was brought about"
            assert lost / len(booked) <= CRITICAL_LOST_PART
            assert lost / len(booked) < shed / len(looked)
