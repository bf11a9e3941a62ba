"""Synchronization of rules: pulled from a node that has newer ones, or read from the table."""

from logging import getLogger

from pollenbay.commands.heartbeat import renew_report
from pollenbay.gossipmessage import Heartbeat, RulesResponse
from pollenbay.ids import InstanceId
from pollenbay.membership import Membership, RuleSource
from pollenbay.peer import PeerError, PeerLink, make_peer_link
from pollenbay.queries.delta import assemble_rules, make_rules_request
from pollenbay.rendezvous import has_newer_rules, poll_period_s
from pollenbay.rule import RuleSet

LOG = getLogger("pollenbay.membership")
TABLE_CHECK_INTERVAL_S = 1.0
#: Bounds of the random factor on the periods of table reads, announcements and join attempts.
JITTER_FACTORS = (0.75, 1.25)
RULE_SOURCES_MAX = 8


def record_version(membership: Membership, heartbeat: Heartbeat) -> None:
    """Record a node that reports newer rules as a source."""
    sender, version = heartbeat.sender, heartbeat.report.rule_version
    if version <= membership.rulebook.version or len(membership.newer_rules) >= RULE_SOURCES_MAX:
        return
    source = RuleSource(version, sender.address, sender.gossip_port)
    membership.newer_rules[sender.instance] = source


async def run_pulls(membership: Membership) -> None:
    """Pull newer rules whenever a node reports some."""
    while True:
        await membership.newer_rules_event.wait()
        membership.newer_rules_event.clear()
        while membership.newer_rules:
            await _pull_newest(membership)


async def run_polls(membership: Membership) -> None:
    """Poll the table for newer rules, at a period that grows with the number of nodes."""
    ticks = membership.timer.subscribe(TABLE_CHECK_INTERVAL_S)
    next_at = membership.timer.now()
    while True:
        if membership.timer.now() >= next_at:
            await poll_table(membership)
            period_s = poll_period_s(len(membership.view.members))
            next_at = membership.timer.now() + period_s * membership.rng.uniform(*JITTER_FACTORS)
        await ticks.wait()


async def poll_table(membership: Membership) -> None:
    """Adopt the table's rules if they are newer."""
    newer = await has_newer_rules(membership.table, membership.rulebook.version)
    if newer.is_ok() and newer.ok_value:
        await _read_table(membership)
    membership.rules_table_queried = True


async def adopt_rules(membership: Membership, rules: RuleSet) -> bool:
    """Activate newer rules and notify all peers at once; return whether they were newer."""
    before = membership.rulebook.version
    membership.adopt(membership.rulebook, rules, membership.timer.epoch())
    after = membership.rulebook.version
    if after == before:
        return False
    renew_report(membership.gossip, membership.view, membership.rulebook)
    LOG.info("rules adopted", extra={"before": before, "after": after})
    for ticks in list(membership.heartbeat_timers.values()):
        await ticks.fire()
    return True


async def _read_table(membership: Membership) -> None:
    result = await membership.read_rules(membership.table)
    if result.is_ok() and result.ok_value is not None:
        await adopt_rules(membership, result.ok_value)


async def _pull_newest(membership: Membership) -> None:
    newest = max(membership.newer_rules, key=lambda each: membership.newer_rules[each].version)
    source = membership.newer_rules.pop(newest)
    if source.version > membership.rulebook.version:
        await _pull(membership, source, newest)
    _drop_outdated_sources(membership)


async def _pull(membership: Membership, source: RuleSource, instance: InstanceId) -> None:
    counts = membership.gossip.counts
    link = make_peer_link(source.address, source.gossip_port, membership.traffic)
    try:
        adopted = await _pull_rules(membership, link, False)
        adopted = adopted or await _pull_rules(membership, link, True)
    except PeerError as error:
        adopted = False
        LOG.warning("rules not pulled", extra={"peer": instance, "error": str(error)})
    finally:
        link.close()
    if adopted:
        counts.rules_pulled += 1
    else:
        counts.rules_pulls_failed += 1


async def _pull_rules(membership: Membership, link: PeerLink, complete: bool) -> bool:
    current = membership.rulebook.rules
    response = await link.send_request(make_rules_request(current, complete))
    if not isinstance(response, RulesResponse):
        return False
    rules = assemble_rules(current, response)
    return rules is not None and await adopt_rules(membership, rules)


def _drop_outdated_sources(membership: Membership) -> None:
    version = membership.rulebook.version
    for instance, source in list(membership.newer_rules.items()):
        if source.version <= version:
            del membership.newer_rules[instance]
