"""Tests of the callers' shares."""

from pollenbay.ids import CallerId
from pollenbay.share import Shares, make_shares

SCRIPT, SHOP = CallerId("script"), CallerId("shop")
RANK = 2


def shares_of(script: int, shop: int) -> Shares:
    shares = make_shares()
    for caller, calls in ((SCRIPT, script), (SHOP, shop)):
        for _ in range(calls):
            shares.add(RANK, caller)
    return shares


class TestShare:
    def test_a_lone_caller_has_no_bound(self) -> None:
        assert not shares_of(100, 0).over_share(RANK, SCRIPT, 10)

    def test_two_callers_have_half_each(self) -> None:
        shares = shares_of(5, 4)
        assert shares.over_share(RANK, SCRIPT, 10)
        assert not shares.over_share(RANK, SHOP, 10)

    def test_a_caller_with_no_call_is_within_its_share(self) -> None:
        assert not shares_of(0, 50).over_share(RANK, SCRIPT, 10)

    def test_classes_are_counted_apart(self) -> None:
        shares = shares_of(5, 0)
        shares.add(0, SHOP)
        assert not shares.over_share(RANK, SCRIPT, 10)

    def test_what_has_ended_counts_no_more(self) -> None:
        shares = shares_of(5, 1)
        shares.remove(RANK, SHOP)
        assert not shares.over_share(RANK, SCRIPT, 10)
        assert shares.callers(RANK) == 1


class TestYielding:
    def test_a_caller_with_its_share_yields_to_a_newcomer(self) -> None:
        assert shares_of(10, 0).yields_to(RANK, SCRIPT, SHOP, 10)

    def test_a_caller_does_not_yield_to_itself(self) -> None:
        assert not shares_of(10, 0).yields_to(RANK, SCRIPT, SCRIPT, 10)

    def test_a_single_call_does_not_yield(self) -> None:
        assert not shares_of(1, 0).yields_to(RANK, SCRIPT, SHOP, 1)
