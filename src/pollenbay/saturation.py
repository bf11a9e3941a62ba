"""How full targets are, and how much of the demand on their services they can take.

A node measures the target beside it and sets the level of demand that it can take. What it hears of
others comes back with the replies to its calls: the node beside the called target tells its own
level and those of the services that its target calls in turn, so that news of the deepest service
reaches the entry of a chain as fast as answers do.
"""

from dataclasses import dataclass

from pollenbay.ids import InstanceId, ServiceName
from pollenbay.states import CallClass

#: Level at which a service takes all demand; each class takes one unit of it.
FULL_LEVEL = float(len(CallClass))
#: What is not heard again for longer says nothing any more.
READING_VALID_S = 2.0


@dataclass(slots=True)
class Reading:
    """Level of a service as one node told it.

    :param level: from 0 to `FULL_LEVEL`.
    :param heard_at: monotonic seconds.
    """

    level: float
    heard_at: float


@dataclass(frozen=True, slots=True)
class Room:
    """What a service can take, as this node last worked it out.

    :param level: level of the service.
    :param below: lowest level of the services that its targets call, directly or not.
    """

    level: float = FULL_LEVEL
    below: float = FULL_LEVEL


class Saturation:
    """The saturation and the level of the own target, and the levels heard of others."""

    def __init__(self) -> None:
        self._value = 0.0
        self._level = FULL_LEVEL
        self._arrivals = 0
        self._refusals = 0
        self._readings: dict[ServiceName, dict[InstanceId, Reading]] = {}
        self._below: dict[ServiceName, dict[ServiceName, float]] = {}
        self._rooms: dict[ServiceName, Room] = {}

    @property
    def value(self) -> float:
        """Return the smoothed saturation of the own target: 1.0 when all slots are taken."""
        return self._value

    @property
    def level(self) -> float:
        """Return the level of demand that the own target can take."""
        return self._level

    @property
    def readings(self) -> dict[ServiceName, dict[InstanceId, Reading]]:
        """Return the readings of each service, by the node that told them."""
        return self._readings

    @property
    def below(self) -> dict[ServiceName, dict[ServiceName, float]]:
        """Return, for each service, those that its targets call, with when that was last told."""
        return self._below

    @property
    def rooms(self) -> dict[ServiceName, Room]:
        """Return the room of each service heard of, as of the last look."""
        return self._rooms

    def arrive(self) -> None:
        """Count a call that arrived at the own target."""
        self._arrivals += 1

    def refuse(self) -> None:
        """Count a call that found no room there."""
        self._refusals += 1

    def take_refused_part(self) -> float:
        """Return the part refused of what arrived since this was last asked."""
        part = self._refusals / self._arrivals if self._arrivals else 0.0
        self._arrivals = self._refusals = 0
        return part

    def set_own(self, value: float, level: float) -> None:
        """Replace the saturation and the level of the own target."""
        self._value = value
        self._level = level


def make_saturation() -> Saturation:
    """Return a state in which nothing has been measured or heard."""
    return Saturation()
