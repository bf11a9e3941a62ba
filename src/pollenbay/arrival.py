"""Types that pass through the gate of a target: arrivals, tickets, waiters and refusals."""

from dataclasses import dataclass, field

from curio import Event
from msgspec import Struct

from pollenbay.ids import CallerId, CallName
from pollenbay.states import CallClass, Reason


class Arrival(Struct, frozen=True):
    """A call that requests a slot.

    :param call_class: class of the request that it belongs to.
    :param deadline: monotonic seconds after which its response is useless.
    :param arrived_at: monotonic seconds.
    :param expected_service_s: expected service time of the target in seconds; 0 if unknown.
    :param name: name of the call, by which its run time is learnt.
    """

    call_class: CallClass
    caller: CallerId
    deadline: float
    arrived_at: float
    expected_service_s: float = 0.0
    name: CallName = CallName("")


class Refusal(Struct, frozen=True):
    """The call was not admitted and the target has not seen it.

    :param retry_after_s: seconds after which the caller may retry.
    """

    reason: Reason
    retry_after_s: float


class Ticket(Struct, eq=False):
    """The right to occupy one slot until it is released.

    :param admitted_at: monotonic seconds.
    """

    arrival: Arrival
    admitted_at: float
    released: bool = False


@dataclass(slots=True, eq=False)
class Waiter:
    """A queued arrival; `decision` is set before its event is.

    :param priority: queue priority, 0 first; see `pollenbay.admissionqueue`.
    :param displaced: a waiter evicted in favour of this one, whose event the caller has to set.
    """

    arrival: Arrival
    priority: int
    event: Event = field(default_factory=Event)
    decision: Ticket | Refusal | None = None
    displaced: "Waiter | None" = None
