"""Entry routes are told from inner ones by the services beside which their requests begin."""

from pollenbay.ids import CallName, ServiceName
from pollenbay.origins import ORIGIN_VALID_S, REQUESTS_MIN, make_origins

ROUTE, OTHER = CallName("lookup"), CallName("tally")
SERVICES = [ServiceName(name) for name in ("a", "b", "c", "d")]


def test_unknown_before_enough_was_seen() -> None:
    origins = make_origins()
    for _ in range(REQUESTS_MIN - 1):
        origins.note(ROUTE, SERVICES[0], 0.0)
    assert origins.is_entry(ROUTE, 4, 0.0) is None


def test_requests_from_beside_one_service_are_calls_of_its_targets() -> None:
    origins = make_origins()
    for _ in range(100):
        origins.note(ROUTE, SERVICES[0], 0.0)
    assert origins.is_entry(ROUTE, 4, 0.0) is False


def test_requests_from_beside_most_services_are_of_callers() -> None:
    origins = make_origins()
    for number in range(100):
        origins.note(ROUTE, SERVICES[number % 4], 0.0)
    assert origins.is_entry(ROUTE, 4, 0.0) is True
    assert origins.is_entry(ROUTE, 4, ORIGIN_VALID_S + 1.0) is False


def test_share_of_the_requests() -> None:
    origins = make_origins()
    for number in range(100):
        origins.note(ROUTE if number % 4 else OTHER, SERVICES[0], 0.0)
    origins.fade()
    assert round(origins.share(OTHER), 3) == 0.25
    origins.keep_only({OTHER})
    assert round(origins.share(OTHER), 3) == 1.0
    assert origins.share(ROUTE) == 0.0
