"""Names that the platform's interfaces use."""

REQUEST_HEADER = b"x-pollenbay-request-id"
DEADLINE_HEADER = b"x-pollenbay-deadline-ms"
#: Proof that a response is an instance's own; opaque here.
SIGNATURE_HEADER = b"x-pollenbay-server-signature"
#: Only the named run of an instance takes the request; any other answers 421.
EXPECTED_TARGET_HEADER = b"x-pollenbay-target-instance"
LOAD_HEADER = b"x-pollenbay-server-load"
NOT_RUN_HEADER = b"x-pollenbay-not-executed"
#: Service of the instance beside which a request began; not who called.
ORIGIN_HEADER = b"x-pollenbay-caller-service"
TARGET_HEADER = b"x-pollenbay-instance-id"

READY_PATH = b"/ready"
INSTANCES_PATH = "/instances/"

OPERATOR_TABLE = "op"
CONFIG_KEY = "config"

#: Statuses by which an instance or a node promises that a request has not run.
PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
