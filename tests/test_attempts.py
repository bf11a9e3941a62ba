"""Progress of a call from one attempt to the next."""

from collections.abc import Iterator
from math import inf

from admin_node import make_admin_node
from curio import run
from pytest import fixture, mark

from pollenbay.account import make_retry_account
from pollenbay.call import Call, CallProgress
from pollenbay.commands import calling
from pollenbay.ids import CallerId, CallName, RequestId, ServiceName
from pollenbay.node import Node
from pollenbay.outcome import Answered, NotRun, Outcome, Unknown
from pollenbay.states import CallClass, Reason


@fixture
def node() -> Iterator[Node]:
    """Return a node that is the only instance of its service."""
    node = make_admin_node()
    yield node
    node.membership.server.close()


def make_call(idempotent: bool) -> Call:
    """Return a call without a key."""
    return Call(
        request=RequestId("request"),
        service=ServiceName("docs"),
        name=CallName("book"),
        call_class=CallClass.CRITICAL,
        caller=CallerId(""),
        method="POST",
        path="/book",
        headers=[],
        body=b"",
        deadline=inf,
        idempotent=idempotent,
    )


# A refused call stayed marked as sent and as one that must not be cancelled.
@mark.parametrize(
    "first, idempotent, sent",
    [
        (NotRun(Reason.TARGET_REFUSED), False, False),
        (NotRun(Reason.TARGET_REFUSED), True, False),
        (Unknown(Reason.CONNECTION_LOST), True, True),
    ],
)
def test_next_attempt_starts_without_what_a_refused_one_noted(
    monkeypatch, node: Node, first: Outcome, idempotent: bool, sent: bool
) -> None:
    before_attempts: list[tuple[bool, bool]] = []

    async def attempt(node, call, allowance, progress, member) -> Outcome:
        before_attempts.append((progress.cancellable, progress.sent))
        progress.cancellable, progress.sent = idempotent, True
        return first if len(before_attempts) == 1 else Answered(200, [], b"")

    monkeypatch.setattr(calling, "_dispatch", attempt)
    account = make_retry_account(1, inf)
    run(calling.place_at_service, node, make_call(idempotent), account, CallProgress())
    assert before_attempts == [(True, False), (True, sent)]
