"""Tests of the callers' shares of the slots and the queue of a gate."""

from pollenbay.ids import CallerId
from pollenbay.share import Shares, make_shares

SCRIPT, SHOP = CallerId("script"), CallerId("shop")
RANK = 2


def make_shares_with(script: int, shop: int) -> Shares:
    shares = make_shares()
    for caller, calls in ((SCRIPT, script), (SHOP, shop)):
        for _ in range(calls):
            shares.add(RANK, caller)
    return shares


class TestShare:
    def test_single_caller_is_not_bounded(self) -> None:
        assert not make_shares_with(100, 0).is_over_share(RANK, SCRIPT, 10)

    def test_two_callers_have_equal_shares(self) -> None:
        shares = make_shares_with(5, 4)
        assert shares.is_over_share(RANK, SCRIPT, 10)
        assert not shares.is_over_share(RANK, SHOP, 10)

    def test_caller_without_calls_is_within_its_share(self) -> None:
        assert not make_shares_with(0, 50).is_over_share(RANK, SCRIPT, 10)

    def test_classes_are_counted_separately(self) -> None:
        shares = make_shares_with(5, 0)
        shares.add(0, SHOP)
        assert not shares.is_over_share(RANK, SCRIPT, 10)

    def test_ended_calls_are_not_counted(self) -> None:
        shares = make_shares_with(5, 1)
        shares.remove(RANK, SHOP)
        assert not shares.is_over_share(RANK, SCRIPT, 10)
        assert shares.caller_count(RANK) == 1


class TestYielding:
    def test_caller_with_its_full_share_yields_to_a_new_caller(self) -> None:
        assert make_shares_with(10, 0).yields_to(RANK, SCRIPT, SHOP, 10)

    def test_caller_does_not_yield_to_itself(self) -> None:
        assert not make_shares_with(10, 0).yields_to(RANK, SCRIPT, SCRIPT, 10)

    def test_caller_with_a_single_call_does_not_yield(self) -> None:
        assert not make_shares_with(1, 0).yields_to(RANK, SCRIPT, SHOP, 1)
