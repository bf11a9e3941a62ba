"""The capacity page: measured costs extrapolated to the size expected in two years."""

from statistics import mean

from msgspec import Struct

from bench.capacity import DAY_S, GroupSlope, Slopes

NODES = 3800
SERVICES = 140
REGIONS = 3
ZONES = 7
CALLS_PER_S = 1_400_000
CALL_DEPTH = 13
CHANGES_PER_DAY = 8200
FAILURES_PER_DAY = 18
REPLACED_PER_DAY = 1200
CORE_RATIO_LIMIT = 0.017
MEMORY_LIMIT_MB = 256.0
BYTES_LIMIT_PER_S = 21_000.0
ADOPTION_LIMIT_S = 5.0
#: Mean and highest number of peers of a node, with one exchange a second each; see
#: docs/MEMBERSHIP.md.
EXCHANGES_MEAN_PER_S = 8.0
EXCHANGES_WORST_PER_S = 14.0
ANNOUNCE_PERIOD_S = max(60.0, NODES / 20.0)
READS_PER_ANNOUNCEMENT = 6.0
POLL_PERIOD_S = max(2.0, NODES / 100.0)
ROWS_PER_PUBLICATION = 3.0
READS_PER_PUBLICATION = 3.0
#: Memory of an idle caller's connection, from bench/calllatency.py, and such connections of a node.
IDLE_CONNECTION_KB = 7.7
IDLE_CONNECTIONS = 1050
FRAME_BYTES = 104.0
MEMBERSHIP_UPDATE_BYTES = 120.0
US_PER_S = 1e6


class LinearFit(Struct):
    """Intercept and slope of a fitted straight line."""

    intercept: float
    slope: float

    def at(self, value: float) -> float:
        """Return the ordinate at `value`."""
        return self.intercept + self.slope * value


def make_page(slopes: Slopes) -> str:
    """Return the capacity page in Markdown."""
    sections = [
        PAGE_HEAD,
        _measured_section(slopes),
        _node_section(slopes),
        _table_section(),
        _other_roles_section(slopes),
        _open_points_section(slopes),
    ]
    return "\n".join(sections)


def fit_line(points: list[tuple[float, float]]) -> LinearFit:
    """Return the least-squares line through points."""
    x_mean = mean(x for x, _ in points)
    y_mean = mean(y for _, y in points)
    x_square_sum = sum((x - x_mean) ** 2 for x, _ in points)
    slope = (
        sum((x - x_mean) * (y - y_mean) for x, y in points) / x_square_sum if x_square_sum else 0.0
    )
    return LinearFit(y_mean - slope * x_mean, slope)


def changes_per_s() -> float:
    """Return the number of accepted rule versions per second."""
    return CHANGES_PER_DAY / DAY_S


def membership_updates_per_s() -> float:
    """Return the number of member records that change per second.

    A failure changes 2 records, a replacement (a departure and a start) 3.
    """
    return (FAILURES_PER_DAY * 2 + REPLACED_PER_DAY * 3) / DAY_S


def node_core_ratio(slopes: Slopes, exchanges_per_s: float) -> float:
    """Return the ratio of a core that control takes on a node at the target size."""
    largest = slopes.groups[-1]
    per_exchange = _core_per_exchange(slopes)
    rest = largest.core_part + per_exchange * (exchanges_per_s - largest.exchanges_per_s)
    changes = changes_per_s() * largest.change_cpu_ms / 1000.0
    membership_updates = (
        membership_updates_per_s() * exchanges_per_s * slopes.view.apply_record_us / US_PER_S
    )
    return rest + changes + membership_updates


def node_bytes_per_s(slopes: Slopes, exchanges_per_s: float) -> float:
    """Return the gossip traffic of a node in both directions, with estimated headers."""
    largest = slopes.groups[-1]
    payload = largest.bytes_per_s / largest.exchanges_per_s * exchanges_per_s
    changes = changes_per_s() * largest.change_bytes
    membership_updates = membership_updates_per_s() * exchanges_per_s * MEMBERSHIP_UPDATE_BYTES * 2
    headers = exchanges_per_s * FRAME_BYTES * 2
    return payload + changes + membership_updates + headers


def node_memory_mb(slopes: Slopes) -> float:
    """Return the resident memory of a node with its view, rules and idle connections."""
    largest = slopes.groups[-1]
    view_mb = slopes.view.view_mb * NODES / slopes.view.members
    return largest.rss_mb + view_mb + IDLE_CONNECTIONS * IDLE_CONNECTION_KB / 1000.0


def _core_per_exchange(slopes: Slopes) -> float:
    points = [(group.exchanges_per_s, group.core_part) for group in slopes.groups]
    return max(fit_line(points).slope, slopes.groups[-1].core_part / 2 / points[-1][0])


def _measured_section(slopes: Slopes) -> str:
    rows = "".join(_group_row(group) for group in slopes.groups)
    view = slopes.view
    return (
        MEASURED_HEAD
        + rows
        + f"\nWith a view of {view.members:,} members: {view.view_mb:.1f} MB, a record applied in "
        f"{view.apply_record_us:.1f} µs, a heartbeat composed in {view.compose_us:.0f} µs, the "
        f"peers selected in {view.choose_peers_us / 1000.0:.1f} ms. The rules of {SERVICES} "
        f"services take {slopes.rule_set_bytes / 1000.0:.0f} KB as JSON.\n\n"
        f"The load average of the machine was {slopes.load_average:.1f} at the end. Processor time "
        "rises on a busy machine: the same decisions took half as long when it was less busy.\n"
    )


def _group_row(group: GroupSlope) -> str:
    return (
        f"| {group.nodes} | {group.exchanges_per_s:.1f} | {group.core_part * 100:.2f} % "
        f"| {group.worst_core_part * 100:.2f} % | {group.bytes_per_s:,.0f} | {group.rss_mb:.0f} "
        f"| {group.change_cpu_ms:.1f} | {group.change_bytes:,.0f} | {group.change_s:.1f} |\n"
    )


def _node_section(slopes: Slopes) -> str:
    mean_core = node_core_ratio(slopes, EXCHANGES_MEAN_PER_S)
    worst_core = node_core_ratio(slopes, EXCHANGES_WORST_PER_S)
    mean_bytes = node_bytes_per_s(slopes, EXCHANGES_MEAN_PER_S)
    worst_bytes = node_bytes_per_s(slopes, EXCHANGES_WORST_PER_S)
    memory_mb = node_memory_mb(slopes)
    return (
        NODE_HEAD + f"| processor, mean node | {mean_core * 100:.2f} % of a core "
        f"| {CORE_RATIO_LIMIT * 100:.1f} % | {_verdict(mean_core, CORE_RATIO_LIMIT)} |\n"
        f"| processor, node chosen most often | {worst_core * 100:.2f} % of a core "
        f"| {CORE_RATIO_LIMIT * 100:.1f} % | {_verdict(worst_core, CORE_RATIO_LIMIT)} |\n"
        f"| gossip, mean node | {mean_bytes / 1000.0:.1f} KB/s "
        f"| {BYTES_LIMIT_PER_S / 1000.0:.0f} KB/s | {_verdict(mean_bytes, BYTES_LIMIT_PER_S)} |\n"
        f"| gossip, node chosen most often | {worst_bytes / 1000.0:.1f} KB/s "
        f"| {BYTES_LIMIT_PER_S / 1000.0:.0f} KB/s | {_verdict(worst_bytes, BYTES_LIMIT_PER_S)} |\n"
        f"| memory with {IDLE_CONNECTIONS:,} idle callers | {memory_mb:.0f} MB "
        f"| {MEMORY_LIMIT_MB:.0f} MB | {_verdict(memory_mb, MEMORY_LIMIT_MB)} |\n"
    )


def _verdict(value: float, limit: float) -> str:
    return "fits" if value <= limit else "**does not fit**"


def _table_section() -> str:
    writes = NODES / ANNOUNCE_PERIOD_S
    reads = NODES / ANNOUNCE_PERIOD_S * READS_PER_ANNOUNCEMENT
    polls = NODES / POLL_PERIOD_S
    published = changes_per_s()
    replaced = (REPLACED_PER_DAY + FAILURES_PER_DAY) / DAY_S
    rows = [
        ("announcements of nodes", writes, reads),
        ("starts and stops", 2 * replaced, READS_PER_ANNOUNCEMENT * replaced),
        ("polls for newer rules", 0.0, polls),
        ("publications", ROWS_PER_PUBLICATION * published, READS_PER_PUBLICATION * published),
    ]
    lines = "".join(
        f"| {name} | {rows_written:.1f} | {read:.1f} |\n" for name, rows_written, read in rows
    )
    total = (
        f"| all but claims | {sum(w for _, w, _ in rows):.0f} | {sum(r for *_, r in rows):.0f} |\n"
    )
    return TABLE_HEAD + lines + total + TABLE_TAIL


def _other_roles_section(slopes: Slopes) -> str:
    return OTHER_ROLES.format(
        set_kb=slopes.rule_set_bytes / 1000.0,
        per_node=CALLS_PER_S / NODES,
        published=changes_per_s(),
    )


def _open_points_section(slopes: Slopes) -> str:
    seconds = max(group.change_s for group in slopes.groups)
    return OPEN_POINTS.format(
        change_s=seconds, limit_s=ADOPTION_LIMIT_S, size=slopes.groups[-1].nodes
    )


PAGE_HEAD = f"""# Capacity

State, messages and processor time of each role at the target size: {NODES:,} instances, each with its
node, in {SERVICES} services, {REGIONS} regions with {ZONES} zones; {CALLS_PER_S / 1e6:.1f} million calls a second, up to
{CALL_DEPTH} deep; {CHANGES_PER_DAY:,} changes of rules, {FAILURES_PER_DAY} failures and {REPLACED_PER_DAY:,} replacements a day.

Made by `PYTHONPATH=src:. python bench/capacity.py page bench/slopes.json` from slopes that
`... measure bench/slopes.json` measured on real daemons on one machine of 10 cores. Only the first
table is measured; the others are computed from it.
"""
MEASURED_HEAD = """## Measured slopes

Daemons without calls, active rules of the target size, loopback, seven zones in three regions.
Change: one more accepted version that differs in one service. The longest time until all nodes have
adopted a version includes the poll of the table that finds it and the polling by the measurement.

| nodes | exchanges/s | core, mean | core, worst | gossip B/s | memory MB | CPU ms a change | bytes a change | longest s |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
"""
NODE_HEAD = f"""## A node, for control

State: a view of {NODES:,} members, the active rule set, scores and candidate lists for the services
that its target calls, the gate's queue and callers, claims in progress. All of it is a cache or
ends with a call. Messages: a heartbeat and its response each second with each of its peers (four that
it selected and those that selected it: 8 exchanges a second on average and 14 at most at this size),
membership updates piggybacked on these heartbeats, and changed services pulled from one peer.
Mechanisms: hash rings for the selection of peers, membership updates ordered by incarnation,
comparison of view hashes (docs/MEMBERSHIP.md).

| what | at the target size | limit | |
| --- | --- | --- | --- |
"""
TABLE_HEAD = """## The table

Several hundred writes and about two thousand reads a second are available in total.

| use | rows written/s | reads/s |
| --- | --- | --- |
"""
TABLE_TAIL = """
Claims are additional: two rows each (taken, answered). Batching joins the claims of one node; at this
size few nodes have two at the same time, so a table of 300 writes a second supports about 150
claimed calls a second, a hundredth of a percent of all calls. More needs a table with a higher write
rate, or aggregation of claims by zone before they are written, which is not implemented
(docs/CLAIMS.md).
"""
OTHER_ROLES = """## Other roles

| role | state | messages | processor and memory | mechanism |
| --- | --- | --- | --- | --- |
| peer link (gossip) | one `pynng` socket and the pending updates of one peer | one exchange a second, 137 bytes without updates | see the node | `commands/peering.py` |
| link (calls) | one connection for each call in flight between two nodes, up to 64 kept for each | one call and one response, a progress message each 0.25 s | with the calls: about {per_node:.0f} calls a second pass each node, see docs/PERFORMANCE.md for what one costs | `link.py`, `commands/calling.py` |
| object store | not used | none | none | — |
| operators' tool | none | {published:.2f} publications a second in all, each sends the rule set of {set_kb:.0f} KB to one node | one process for one command | `publishclient.py`, compare and set in `commands/publication.py` |
"""
OPEN_POINTS = """
## Limits exceeded and open questions

- All nodes had adopted a version after at most {change_s:.1f} s on {size} nodes; the limit is {limit_s:.0f} s. At
  the target size an update takes 8 hops instead of 3 or 4, each about 10 ms here; between regions
  the network delay is added. Not measured beyond {size} nodes, nor on more than one machine.
- Claims do not fit, see above.
- The 99th percentile of the delay added to a call is above 0.55 ms on this machine: docs/PERFORMANCE.md.
- A publication sends and checks all rules. At this size the check takes about 14 ms of the
  publishing node's event loop, and many teams that publish at the same time are refused and retry.
- Load reports reach all nodes only in small groups; at this size a node scores targets by its own
  calls and by the reports of its peers.
- The cost of a zone failure at this size, some 540 members at once, is not measured.
"""
