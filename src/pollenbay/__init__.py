"""Overload control layer for service call graphs.

The names exported here are the public interface: typed calls, outcomes, rules and settings, and
the two entry points for operators' commands and queries, `execute` and `answer`.
"""

from pollenbay.call import Call, CallRequest
from pollenbay.commands import execute
from pollenbay.commands.lifecycle import Drain
from pollenbay.commands.publication import Publish
from pollenbay.node import Node, make_node
from pollenbay.outcome import Answered, NotRun, Outcome, Unknown
from pollenbay.queries import answer
from pollenbay.queries.history import ShowHistory
from pollenbay.queries.rules import ShowRules
from pollenbay.queries.status import ShowMembers, ShowStatus
from pollenbay.rule import CallRule, RuleSet, ServiceRule
from pollenbay.settings import Settings, load_settings
from pollenbay.states import CallClass, Reason

__all__ = [
    "Answered",
    "CallRequest",
    "Call",
    "CallClass",
    "CallRule",
    "Drain",
    "Node",
    "NotRun",
    "Outcome",
    "Publish",
    "Reason",
    "RuleSet",
    "ServiceRule",
    "Settings",
    "ShowHistory",
    "ShowMembers",
    "ShowRules",
    "ShowStatus",
    "Unknown",
    "answer",
    "execute",
    "load_settings",
    "make_node",
]
