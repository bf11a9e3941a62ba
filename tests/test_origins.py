"""Tests of the detection of entry routes from the services at whose nodes requests originate.

Requests of callers arrive at the nodes of many services; calls made by targets originate at the
nodes of the calling service.
"""

from pollenbay.ids import CallName, ServiceName
from pollenbay.origins import ORIGIN_VALID_S, REQUESTS_MIN, make_origins

ROUTE, OTHER = CallName("lookup"), CallName("tally")
SERVICES = [ServiceName(name) for name in ("a", "b", "c", "d")]


def test_route_is_undecided_before_the_minimum_number_of_requests() -> None:
    origins = make_origins()
    for _ in range(REQUESTS_MIN - 1):
        origins.record(ROUTE, SERVICES[0], 0.0)
    assert origins.is_entry(ROUTE, 4, 0.0) is None


def test_route_with_requests_from_one_service_is_not_an_entry() -> None:
    origins = make_origins()
    for _ in range(100):
        origins.record(ROUTE, SERVICES[0], 0.0)
    assert origins.is_entry(ROUTE, 4, 0.0) is False


def test_route_with_requests_from_most_services_is_an_entry() -> None:
    origins = make_origins()
    for number in range(100):
        origins.record(ROUTE, SERVICES[number % 4], 0.0)
    assert origins.is_entry(ROUTE, 4, 0.0) is True
    assert origins.is_entry(ROUTE, 4, ORIGIN_VALID_S + 1.0) is False


def test_share_of_recent_requests_by_route() -> None:
    origins = make_origins()
    for number in range(100):
        origins.record(ROUTE if number % 4 else OTHER, SERVICES[0], 0.0)
    origins.decay()
    assert round(origins.share(OTHER), 3) == 0.25
    origins.retain_routes({OTHER})
    assert round(origins.share(OTHER), 3) == 1.0
    assert origins.share(ROUTE) == 0.0
