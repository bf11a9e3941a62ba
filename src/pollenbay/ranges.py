"""Ranges of the numbers and texts in values that come from outside.

The bounds of numbers keep sums and conversions of them within 64 bits; not-a-number is out of every
range.
"""

from typing import Annotated

from msgspec import Meta

from pollenbay.ids import Incarnation, RequestId, RowVersion, RuleVersion

COUNT_MAX = 2**62
#: Leaves room below `COUNT_MAX` for the incarnations that follow a stored one.
STORED_INCARNATION_MAX = 2**53
SLOTS_MAX = 1_000_000
MILLISECONDS_MAX = 10**10
EPOCH_MAX_S = 1e12
RATIO_MAX = 1e9
_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"

#: TCP port that can be connected to.
Port = Annotated[int, Meta(ge=1, le=65535)]
#: IPv4 address as four decimal numbers; anything else would be looked up as a name.
IpAddress = Annotated[str, Meta(pattern=rf"^{_OCTET}(?:\.{_OCTET}){{3}}\Z")]
#: Number of things, or a counter that only grows.
Count = Annotated[int, Meta(ge=0, le=COUNT_MAX)]
#: Concurrent calls of a target.
Slots = Annotated[int, Meta(ge=1, le=SLOTS_MAX)]
#: Whole milliseconds of a time-out or an objective.
Milliseconds = Annotated[int, Meta(ge=0, le=MILLISECONDS_MAX)]
#: Time in milliseconds, with fractions.
TimeMs = Annotated[float, Meta(ge=0.0, le=float(MILLISECONDS_MAX))]
#: Time of day in seconds since the epoch.
EpochSeconds = Annotated[float, Meta(ge=0.0, le=EPOCH_MAX_S)]
#: Seconds of a wait.
Seconds = Annotated[float, Meta(ge=0.0, le=MILLISECONDS_MAX / 1000.0)]
#: Ratio or weight.
Ratio = Annotated[float, Meta(ge=0.0, le=RATIO_MAX)]
#: Method, path or another part of a request line.
RequestText = Annotated[str, Meta(pattern=r"^[!-~]+\Z")]
#: Request id that can be sent as the value of a header.
HeaderRequestId = Annotated[RequestId, Meta(pattern=r"^[^\x00-\x1f\x7f\u0100-\U0010ffff]*\Z")]
HttpStatus = Annotated[int, Meta(ge=100, le=999)]
KnownIncarnation = Annotated[Incarnation, Meta(ge=0, le=COUNT_MAX)]
StoredIncarnation = Annotated[Incarnation, Meta(ge=0, le=STORED_INCARNATION_MAX)]
KnownRuleVersion = Annotated[RuleVersion, Meta(ge=0, le=COUNT_MAX)]
KnownRowVersion = Annotated[RowVersion, Meta(ge=0, le=COUNT_MAX)]
