"""Announcement that a target sends to its node periodically.

Announcements are repeated because no registry of targets exists.
"""

from msgspec import Struct

from pollenbay.ids import ServiceName, TargetId
from pollenbay.ranges import Count, IpAddress, Port, Ratio, Slots
from pollenbay.states import TargetState

ANNOUNCE_PATH = "/pollenbay/announce"
ANNOUNCE_PERIOD_S = 0.5


class Announcement(Struct, frozen=True, kw_only=True):
    """A target's announcement in JSON; its load figures may lag or mislead.

    :param address: IP address at which it serves.
    :param slots: maximum number of concurrent calls.
    :param in_flight: number of calls that it reports as running.
    :param reported_load: load that it reports, as a ratio of its slots.
    :param target: id of this run of the target; empty if it sends none.
    """

    service: ServiceName
    address: IpAddress
    port: Port
    slots: Slots
    state: TargetState
    in_flight: Count = 0
    reported_load: Ratio = 0.0
    target: TargetId = TargetId("")
