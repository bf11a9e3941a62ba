"""Members, clocks and complete memberships for tests."""

from random import Random

from curio import Task, spawn
from result import Err, Ok, Result
from table_double import TableDouble

from pollenbay.commands.adoption import adopt
from pollenbay.commands.gossiping import run_membership
from pollenbay.gossip import Clock
from pollenbay.gossipmessage import Record
from pollenbay.ids import HostId, Incarnation, InstanceId, RegionId, RowKey, ServiceName, ZoneId
from pollenbay.membership import Membership, make_membership
from pollenbay.queries.membership import member_of
from pollenbay.queries.rules import read_current
from pollenbay.rulebook import make_rulebook
from pollenbay.settings import Ports, Settings, TableSettings
from pollenbay.states import MemberState
from pollenbay.table import Row, TableError, TableUnavailableError
from pollenbay.timer import make_timer
from pollenbay.view import Member, View, make_view

ADDRESS = "127.0.0.1"
SERVICE = ServiceName("stock")
TOKEN = "0123456789abcdef"


class SharedTable(TableDouble):
    """In-memory table that counts scans and fails them while it is down."""

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], TableError]:
        """Read rows in the order of their keys."""
        self.reads += 1
        if self.down or self.read_down:
            return Err(TableUnavailableError("down"))
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return Ok([self.rows[RowKey(key)] for key in keys[:limit]])


def clock_at(now: float) -> Clock:
    """Return a moment at which the monotonic and the epoch clock agree."""
    return Clock(now, int(now * 1000))


def record_for(
    name: str,
    incarnation: int = 1,
    sequence: int = 0,
    state: MemberState = MemberState.SERVING,
    zone: str = "z1",
    region: str = "r1",
) -> Record:
    """Return a record with placeholder addresses."""
    return Record(
        instance=InstanceId(name),
        incarnation=Incarnation(incarnation),
        sequence=sequence,
        state=state,
        service=SERVICE,
        host=HostId(f"host-{name}"),
        zone=ZoneId(zone),
        region=RegionId(region),
        address=ADDRESS,
        link_port=1,
        gossip_port=2,
    )


def member_for(name: str, **details: object) -> Member:
    """Return the member that `record_for` describes, last seen at 0 s."""
    return member_of(record_for(name, **details), 0.0)


def view_of(*members: Member) -> View:
    """Return a view that holds these members."""
    view = make_view()
    for member in members:
        view.put(member)
    return view


class Group:
    """Memberships in one process, each with its own timer and tasks.

    :param table: the table that all memberships share.
    """

    def __init__(self, table: TableDouble) -> None:
        self.table = table
        self.members: list[Membership] = []
        self._tasks: dict[InstanceId, tuple[Task, Task]] = {}

    async def start(
        self,
        name: str,
        zone: str = "z1",
        region: str = "r1",
        peers: tuple[str, ...] = (),
        incarnation: int | None = None,
    ) -> Membership:
        """Start a membership."""
        settings = Settings(
            instance=InstanceId(name),
            host=HostId(f"host-{name}"),
            zone=ZoneId(zone),
            region=RegionId(region),
            service=SERVICE,
            address=ADDRESS,
            table=TableSettings(ADDRESS, 1),
            admin_token=TOKEN,
            ports=Ports(),
            peers=peers,
        )
        timer = make_timer()
        membership = make_membership(
            settings,
            1,
            make_view(),
            make_rulebook(),
            self.table,
            timer,
            adopt,
            read_current,
            Random(len(self.members)),
            None if incarnation is None else Incarnation(incarnation),
        )
        self.members.append(membership)
        tasks = (await spawn(timer.run), await spawn(run_membership, membership))
        self._tasks[settings.instance] = tasks
        return membership

    async def kill(self, membership: Membership) -> None:
        """Stop a membership without notifying the others."""
        for task in self._tasks.pop(membership.gossip.local_instance):
            await task.cancel()
        self.members.remove(membership)

    async def stop(self) -> None:
        """Stop all memberships."""
        for pair in self._tasks.values():
            for task in pair:
                await task.cancel(blocking=False)
        for pair in self._tasks.values():
            for task in pair:
                await task.wait()


def peer_address(membership: Membership) -> str:
    """Return the gossip address of a membership in the form used in settings."""
    return f"{ADDRESS}:{membership.gossip_port}"


def state_in(membership: Membership, name: str) -> MemberState | None:
    """Return the state of an instance in a membership's view; None if it has no record of it."""
    member = membership.view.members.get(InstanceId(name))
    return None if member is None else member.state
