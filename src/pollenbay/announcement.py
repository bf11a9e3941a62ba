"""What a target tells the node beside it, again and again, since nobody keeps a list of targets."""

from msgspec import Struct

from pollenbay.ids import ServiceName, TargetId
from pollenbay.states import TargetState

ANNOUNCE_PATH = "/pollenbay/announce"
ANNOUNCE_PERIOD_S = 0.5


class Announcement(Struct, frozen=True, kw_only=True):
    """A target's word about itself, in JSON; its figures may lag or mislead.

    :param address: IP number at which it serves.
    :param slots: calls that it can run at once.
    :param in_flight: calls that it says it is running.
    :param reported_load: load that it reports, as a share of its slots.
    :param target: how this run of the target names itself, if it does.
    """

    service: ServiceName
    address: str
    port: int
    slots: int
    state: TargetState
    in_flight: int = 0
    reported_load: float = 0.0
    target: TargetId = TargetId("")
