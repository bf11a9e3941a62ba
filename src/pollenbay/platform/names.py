"""Headers, paths, keys and statuses of the platform's interfaces."""

REQUEST_HEADER = b"x-pollenbay-request-id"
DEADLINE_HEADER = b"x-pollenbay-deadline-ms"
#: Signature that proves that a response was made by an instance; not verified here.
SIGNATURE_HEADER = b"x-pollenbay-server-signature"
#: Run of an instance for which the request is meant; any other run responds with 421.
EXPECTED_TARGET_HEADER = b"x-pollenbay-target-instance"
LOAD_HEADER = b"x-pollenbay-server-load"
NOT_RUN_HEADER = b"x-pollenbay-not-executed"
#: Service of the instance whose node received the request first; not the caller.
ORIGIN_HEADER = b"x-pollenbay-caller-service"
TARGET_HEADER = b"x-pollenbay-instance-id"

READY_PATH = b"/ready"
INSTANCES_PATH = "/instances/"

#: Number in each response of the store that rises when the store comes back from an older copy.
GENERATION_HEADER = b"store-era"

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"

#: Statuses by which an instance or a node guarantees that a request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
