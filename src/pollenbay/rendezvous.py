"""Rows in the platform's table by which nodes find each other.

They serve as an address book only: a row is not a lease. A row also holds what the next process of
its node has to know of the local target.
"""

from msgspec import Struct
from msgspec.json import encode
from result import Ok, Result

from pollenbay.codec import CodecError, decode_json
from pollenbay.departures import Departure
from pollenbay.gossipmessage import Record
from pollenbay.ids import InstanceId, RowKey, RowVersion, RuleVersion, ZoneId
from pollenbay.ranges import EpochSeconds, IpAddress, Port, StoredIncarnation
from pollenbay.states import MemberState
from pollenbay.table import Check, Row, Table, TableError, Write

NODES_PREFIX = "nodes/"
HISTORY_PREFIX = "rules/history/"
#: Maximum writes and reads per second of all nodes together, which bound the load on the table.
ANNOUNCEMENTS_PER_S = 20.0
POLLS_PER_S = 100.0
ANNOUNCE_MIN_S = 60.0
#: Maximum rows that all nodes together write again per second after the table was restored.
RESTORED_ROWS_PER_S = 100.0
RESTORATION_SPREAD_MIN_S = 1.0
POLL_PERIOD_MIN_S = 2.0
BACKOFF_MAX_S = 10.0
LOCAL_ZONE_SEED_ROWS = 32
OTHER_ZONES_SEED_ROWS = 32
#: Number of rows found after which no further scan is made.
SEED_ROWS_SUFFICIENT = 8
#: Size and maximum number of the pages by which a scan goes on behind rows of nodes that have left.
FURTHER_SEED_ROWS = 256
FURTHER_SEED_PAGES_MAX = 8
#: Age, in announcement periods, after which a row counts as abandoned.
ABANDONED_PERIODS = 20
#: Age after which the row of a node that has left as planned counts as abandoned.
WITHDRAWN_RETENTION_S = 60.0
REMOVALS_LIMIT = 16
#: Number of scans for seeds that are always made: one of the local zone and one of other zones.
SEED_SCANS_MIN = 2
#: Sorts after all characters in names.
MAX_CHARACTER = "\U0010ffff"


class NodeRow(Struct, frozen=True, omit_defaults=True):
    """One node's row.

    :param written_at: seconds since the epoch, on the node's clock.
    :param departures: recent departures of the node's target.
    :param withdrawn: whether the node has left, so that it cannot be contacted.
    """

    instance: InstanceId
    incarnation: StoredIncarnation
    address: IpAddress
    gossip_port: Port
    written_at: EpochSeconds
    departures: list[Departure] = []
    withdrawn: bool = False


class StoredNode(Struct, frozen=True):
    """A node's row as it was read.

    :param version: version of the row; 0 if there is none.
    :param row: None if there is no row, or one of another writer.
    """

    version: RowVersion = RowVersion(0)
    row: NodeRow | None = None


def row_key(zone: ZoneId, instance: InstanceId) -> RowKey:
    """Return the key of a node's row."""
    return RowKey(f"{NODES_PREFIX}{zone}/{instance}")


def announce_period_s(members: int) -> float:
    """Return the seconds between two writes of a node's row.

    :param members: size of the group.
    """
    return max(ANNOUNCE_MIN_S, members / ANNOUNCEMENTS_PER_S)


def restoration_spread_s(members: int) -> float:
    """Return the seconds over which nodes write their rows again after the table was restored.

    :param members: size of the group.
    """
    return max(RESTORATION_SPREAD_MIN_S, members / RESTORED_ROWS_PER_S)


def poll_period_s(members: int) -> float:
    """Return the seconds between two polls for a new rule version.

    :param members: size of the group.
    """
    return max(POLL_PERIOD_MIN_S, members / POLLS_PER_S)


def backoff_limit_s(members: int) -> float:
    """Return the maximum seconds between two attempts to reach the table.

    :param members: size of the group.
    """
    return max(BACKOFF_MAX_S, members / POLLS_PER_S)


async def announce_node(
    table: Table,
    record: Record,
    epoch_s: float,
    departures: list[Departure] | None = None,
    version: RowVersion | None = None,
) -> Result[None, TableError]:
    """Write a node's row; the row of a node that is leaving is marked as withdrawn.

    :param epoch_s: seconds since the epoch.
    :param departures: recent departures of the node's target.
    :param version: version of the row that is replaced; None for any. A write may be performed
        after a later one unless it states a version.
    """
    row = NodeRow(
        instance=record.instance,
        incarnation=record.incarnation,
        address=record.address,
        gossip_port=record.gossip_port,
        written_at=epoch_s,
        departures=departures or [],
        withdrawn=record.state is MemberState.LEAVING,
    )
    key = row_key(record.zone, record.instance)
    checks = [] if version is None else [Check(key, version)]
    return await table.transact(checks, [Write(key, encode(row))])


async def withdraw_node(
    table: Table, record: Record, version: RowVersion
) -> Result[None, TableError]:
    """Remove a node's row.

    :param version: version of the row; 0 if there is none.
    """
    key = row_key(record.zone, record.instance)
    return await table.transact([Check(key, version)], [Write(key, None)])


async def read_node(table: Table, record: Record) -> Result[StoredNode, TableError]:
    """Return a node's own row, which an earlier process may have written."""
    result = await table.get(row_key(record.zone, record.instance))
    return result.map(
        lambda row: StoredNode() if row is None else StoredNode(row.version, _node_row(table, row))
    )


async def read_seeds(table: Table, record: Record) -> Result[list[NodeRow], TableError]:
    """Return a bounded number of other nodes from the local zone and the zones that sort after it.

    Each node starts at its own name, so that the nodes do not all find the same seeds.
    """
    zone_prefix = f"{NODES_PREFIX}{record.zone}/"
    scans = (
        (zone_prefix, row_key(record.zone, record.instance), LOCAL_ZONE_SEED_ROWS),
        (NODES_PREFIX, zone_prefix + MAX_CHARACTER, OTHER_ZONES_SEED_ROWS),
        (zone_prefix, "", LOCAL_ZONE_SEED_ROWS),
        (NODES_PREFIX, "", OTHER_ZONES_SEED_ROWS),
    )
    seeds: dict[InstanceId, NodeRow] = {}
    for order, (prefix, after, limit) in enumerate(scans):
        if order >= SEED_SCANS_MIN and len(seeds) >= SEED_ROWS_SUFFICIENT:
            break
        result = await _scan_nodes(table, prefix, after, limit)
        if result.is_err():
            return result
        seeds.update(result.ok_value)
    seeds.pop(record.instance, None)
    return Ok(list(seeds.values()))


async def _scan_nodes(
    table: Table, prefix: str, after: str, limit: int
) -> Result[dict[InstanceId, NodeRow], TableError]:
    """Return a bounded number of nodes that can be contacted.

    After many planned stops the rows of nodes that have left may fill a page.
    """
    nodes: dict[InstanceId, NodeRow] = {}
    for _ in range(1 + FURTHER_SEED_PAGES_MAX):
        result = await table.scan(prefix, after, limit)
        if result.is_err():
            return result
        rows = result.ok_value
        nodes.update(_node_rows(table, rows))
        if len(rows) < limit or len(nodes) >= SEED_ROWS_SUFFICIENT:
            break
        after, limit = rows[-1].key, FURTHER_SEED_ROWS
    return Ok(nodes)


async def remove_abandoned(
    table: Table, record: Record, epoch_s: float, members: int
) -> Result[int, TableError]:
    """Remove a few abandoned rows of the local zone and return their number.

    :param epoch_s: seconds since the epoch.
    :param members: size of the group.
    """
    result = await table.scan(
        f"{NODES_PREFIX}{record.zone}/", row_key(record.zone, record.instance), LOCAL_ZONE_SEED_ROWS
    )
    if result.is_err():
        return result
    retention_s = ABANDONED_PERIODS * announce_period_s(members)
    rows = [row for row in result.ok_value if _is_abandoned(table, row, epoch_s, retention_s)]
    rows = rows[:REMOVALS_LIMIT]
    if not rows:
        return Ok(0)
    checks = [Check(row.key, row.version) for row in rows]
    removed = await table.transact(checks, [Write(row.key, None) for row in rows])
    return removed.map(lambda _: len(rows))


async def has_newer_rules(table: Table, version: RuleVersion) -> Result[bool, TableError]:
    """Return whether a higher version was published; the scan usually returns no row."""
    result = await table.scan(HISTORY_PREFIX, f"{HISTORY_PREFIX}{version:010d}", 1)
    return result.map(bool)


def _is_abandoned(table: Table, row: Row, epoch_s: float, retention_s: float) -> bool:
    node = _node_row(table, row)
    if node is None:
        return False
    if node.withdrawn:
        retention_s = min(retention_s, WITHDRAWN_RETENTION_S)
    return node.written_at < epoch_s - retention_s


def _node_rows(table: Table, rows: list[Row]) -> dict[InstanceId, NodeRow]:
    """Return the nodes in rows that can be contacted."""
    nodes = [_node_row(table, row) for row in rows]
    return {node.instance: node for node in nodes if node is not None and not node.withdrawn}


def _node_row(table: Table, row: Row) -> NodeRow | None:
    """Return the node in a row; None for a row of another writer that holds none."""
    try:
        return decode_json(row.value, NodeRow)
    except CodecError as error:
        table.bad_rows.record(row.key, row.version, str(error))
        return None
