"""The complete request path on the users' platform: one real node among stand-in processes."""

import json
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from signal import SIGHUP
from time import monotonic
from urllib.parse import quote

from harness import Processes, send, wait_until
from platform_node import READY_WITHIN_S, SERVICE, PlatformNode, make_config, make_route
from pytest import FixtureRequest, MonkeyPatch, fixture, mark

EFFECT_WITHIN_S = 5.0
#: Header lines whose name or value holds a blank or a control character.
ODD_LINES = [
    " x-odd: 1",
    "\tx-odd: 1",
    "x odd: 1",
    "x-odd : 1",
    "x-\x01odd: 1",
    "\x7fx-odd: 1",
    "\rx-odd: 1",
    "\nx-odd: 1",
    "x-odd: 1\n",
    "x-odd: \x01",
]


@fixture(scope="module")
def served(tmp_path_factory) -> Iterator[PlatformNode]:
    """Yield a running node with a safe, an unsafe and a short-timeout route."""
    folder: Path = tmp_path_factory.mktemp("platform")
    with Processes(folder) as processes:
        platform = PlatformNode(processes, folder)
        platform.serve(
            make_route("/safe/"),
            make_route("/unsafe/", "unsafe"),
            make_route("/short/", timeout_ms=300),
        )
        yield platform


@fixture(autouse=True)
def check_in_before(request: FixtureRequest) -> None:
    """Let the instance of the shared node check in, as instances do all the time."""
    if "served" in request.fixturenames:
        assert request.getfixturevalue("served").check_in().status == 200


@fixture
def platform(tmp_path) -> Iterator[PlatformNode]:
    """Yield the stand-ins of the platform with a node that has not been started."""
    with Processes(tmp_path) as processes:
        yield PlatformNode(processes, tmp_path)


class TestRequests:
    def test_request_and_response_pass_with_context_headers(self, served: PlatformNode) -> None:
        headers = {
            "x-pollenbay-deadline-ms": "900",
            "x-pollenbay-caller-service": "forged",
            "x-pollenbay-target-instance": "forged",
        }
        response = served.send_request(
            "/safe/a?b=c", "POST", body=b"bale", name="a1", headers=headers
        )
        assert (response.status, response.body) == (200, b"answer to a1")
        assert response.headers["x-pollenbay-server-signature"] == "signed"
        run = next(run for run in served.runs() if run["name"] == "a1")
        assert (run["method"], run["path"], run["body"]) == ("POST", "/safe/a?b=c", "bale")
        assert run["origin"] == SERVICE
        assert 0 < run["deadline_ms"] <= 900

    def test_requests_are_counted_with_their_duration(self, platform: PlatformNode) -> None:
        node = platform.serve(make_route("/safe/"), make_route("/short/", timeout_ms=300))
        assert platform.send_request("/short/?work_s=1").status == 504
        text = send(node.ready["admin"], "/metrics").body.decode("utf-8")
        counted = 'pollenbay_call_seconds_count{call_class="normal",outcome="%s"}'
        lines = dict(line.rsplit(" ", 1) for line in text.splitlines() if line[0] != "#")
        assert float(lines[counted % "answered"]) >= 1.0
        assert float(lines[counted % "unknown"]) == 1.0

    def test_request_without_route_is_not_found(self, served: PlatformNode) -> None:
        assert served.send_request("/none/").status == 404

    def test_request_without_id_is_rejected(self, served: PlatformNode) -> None:
        assert served.send_request("/safe/", name="").status == 400

    def test_route_timeout_ends_the_wait(self, served: PlatformNode) -> None:
        started_at = monotonic()
        response = served.send_request("/short/?spoil=hang", name="h1")
        assert response.status == 504
        assert 0.2 < monotonic() - started_at < 0.8

    @mark.parametrize(
        "spoil, status",
        [
            ("extra", 200),
            ("unframed", 200),
            ("cut", 502),
            ("lost", 502),
            ("noise", 502),
            ("unsigned", 502),
            ("encoded", 502),
            ("bare-503", 502),
            ("refused", 503),
        ],
    )
    def test_corrupted_responses(self, served: PlatformNode, spoil: str, status: int) -> None:
        name = f"unsafe-{spoil}"
        response = served.send_request(f"/unsafe/?spoil={spoil}", "POST", body=b"x", name=name)
        assert response.status == status
        if status == 200:
            assert response.body == b"answer to " + name.encode()
        else:
            assert "x-pollenbay-server-signature" not in response.headers
        ran = sum(run["name"] == name for run in served.runs())
        assert ran == (0 if spoil == "refused" else 1)
        assert served.send_request("/safe/", name="after").body == b"answer to after"

    # Heads that are no HTTP were passed on as answers, a line of them as part of another one or of
    # the body.
    @mark.parametrize(
        "query",
        [
            *(f"odd-line&line={quote(line)}" for line in ODD_LINES),
            *(f"odd-status&status={status}" for status in ("000", "099", "600", "999")),
        ],
    )
    def test_response_with_a_malformed_head_is_no_answer(
        self, served: PlatformNode, query: str
    ) -> None:
        name = f"head-{query}"
        response = served.send_request(f"/unsafe/?spoil={query}", "POST", body=b"x", name=name)
        assert response.status == 502
        assert "x-pollenbay-server-signature" not in response.headers
        assert "x-odd" not in response.headers
        assert sum(run["name"] == name for run in served.runs()) == 1
        assert served.send_request("/safe/", name="after").body == b"answer to after"

    # The response had a signature, but was passed on without it.
    def test_success_whose_signature_is_not_passed_on_is_no_answer(
        self, served: PlatformNode
    ) -> None:
        line = quote("connection: x-pollenbay-server-signature")
        response = served.send_request(
            f"/unsafe/?spoil=odd-line&line={line}", "POST", body=b"x", name="hop-signature"
        )
        assert response.status == 502

    def test_rejection_states_retry_after(self, served: PlatformNode) -> None:
        response = served.send_request("/unsafe/?spoil=refused", "POST", body=b"x")
        assert 0.0 < float(response.headers["retry-after"]) < 2.0


def assert_not_served(platform: PlatformNode, runs_before: int) -> None:
    """Assert that for a second no request reaches the instance."""
    ends_at = monotonic() + 1.0
    while monotonic() < ends_at:
        assert platform.send_request("/unsafe/", "POST", body=b"x").status == 503
    assert len(platform.runs()) == runs_before


class TestCheckIns:
    @mark.parametrize(
        "body",
        [
            b"",
            b"\xff\xfe",
            b"[]",
            b'{"address": 7}',
            json.dumps({"address": "127.0.0.1:1", "info": {}, "status": {}}).encode(),
        ],
    )
    def test_malformed_check_in_is_rejected_without_effect(
        self, served: PlatformNode, body: bytes
    ) -> None:
        assert served.send_check_in(body).status == 400
        assert served.send_request("/safe/").status == 200

    def test_check_in_of_another_address_is_rejected(self, served: PlatformNode) -> None:
        assert served.check_in(address="127.0.0.1:9").status == 400
        assert served.send_request("/safe/").status == 200

    def test_check_in_with_unknown_state_is_rejected(self, served: PlatformNode) -> None:
        assert served.check_in("sleeping").status == 400

    def test_draining_instance_gets_no_more_requests(self, platform: PlatformNode) -> None:
        platform.serve(make_route("/safe/"))
        assert platform.check_in("draining").status == 200
        wait_until(
            lambda: platform.send_request("/safe/").status == 503, 2.0, "requests to be rejected"
        )
        before = len(platform.runs())
        assert platform.send_request("/safe/").status == 503
        assert len(platform.runs()) == before

    # A late check-in brought the instance back, since the new process had not known its run.
    def test_departed_instance_stays_away_after_a_restart(self, platform: PlatformNode) -> None:
        platform.restart(platform.serve(make_route("/unsafe/", "unsafe")))
        before = len(platform.runs())
        assert platform.send_departure().status == 200
        assert platform.check_in().status == 200
        assert_not_served(platform, before)

    # A killed process took the departures that it had confirmed with it.
    @mark.parametrize("kill", [True, False])
    def test_departure_that_was_confirmed_holds_after_a_restart(
        self, platform: PlatformNode, kill: bool
    ) -> None:
        node = platform.serve(make_route("/unsafe/", "unsafe"))
        late = platform.check_in_body()
        before = len(platform.runs())
        assert platform.send_departure().status == 200
        platform.restart(node, kill)
        assert platform.send_check_in(late).status == 200
        assert_not_served(platform, before)

    # A killed process took with it that its instance was draining.
    def test_draining_instance_gets_no_more_requests_after_a_restart(
        self, platform: PlatformNode
    ) -> None:
        node = platform.serve(make_route("/unsafe/", "unsafe"))
        late = platform.check_in_body()
        before = len(platform.runs())
        assert platform.check_in("draining").status == 200
        platform.restart(node)
        assert platform.send_check_in(late).status == 200
        assert_not_served(platform, before)

    # While the store is away, a node cannot know whether its instance has left before the restart.
    def test_ready_instance_is_admitted_once_the_departures_are_recalled(
        self, platform: PlatformNode
    ) -> None:
        platform.serve(make_route("/safe/")).kill()
        platform.set_store_fault("down")
        platform.start()
        assert platform.check_in().status == 503
        platform.set_store_fault("up")
        wait_until(
            lambda: platform.check_in().status == 200,
            READY_WITHIN_S,
            "the check-in to be confirmed",
        )
        wait_until(
            lambda: platform.send_request("/safe/").status == 200,
            EFFECT_WITHIN_S,
            "a successful response",
        )


class TestConfiguration:
    """Configuration updates, also during outages of the store."""

    def test_new_configuration_is_activated_in_time(self, platform: PlatformNode) -> None:
        platform.serve(make_route("/safe/"))
        platform.publish(make_config(5, make_route("/safe/"), make_route("/new/")))
        wait_until(lambda: platform.send_request("/new/").status == 200, 2.0, "the new route")

    def test_older_configuration_is_ignored(self, platform: PlatformNode) -> None:
        platform.serve(make_route("/safe/"))
        platform.publish(make_config(5, make_route("/safe/"), make_route("/new/")))
        wait_until(lambda: platform.send_request("/new/").status == 200, 2.0, "the new route")
        platform.publish(make_config(4, make_route("/safe/")))
        platform.publish(b"{")
        platform.publish(
            make_config(6, make_route("/safe/"), make_route("/new/"), make_route("/newer/"))
        )
        wait_until(lambda: platform.send_request("/newer/").status == 200, 2.0, "the newer route")
        assert platform.send_request("/new/").status == 200

    @mark.parametrize("mode", ["down", "busy", "silent"])
    def test_requests_are_served_while_the_store_is_unavailable(
        self, platform: PlatformNode, mode: str
    ) -> None:
        platform.serve(make_route("/safe/"))
        platform.set_store_fault(mode)
        wait_until(
            lambda: platform.send_request("/safe/").status == 200,
            EFFECT_WITHIN_S,
            "a successful response",
        )
        assert platform.readiness_status() == 200
        platform.publish(make_config(5, make_route("/safe/"), make_route("/new/")))
        platform.set_store_fault("up")
        wait_until(
            lambda: platform.send_request("/new/").status == 200, EFFECT_WITHIN_S, "the new route"
        )

    def test_node_without_configuration_is_not_ready(self, platform: PlatformNode) -> None:
        platform.start()
        response = platform.send_request("/safe/")
        assert response.status == 503
        assert platform.readiness_status() == 503


class TestLifecycle:
    def test_planned_stop_ends_within_the_grace_period(self, platform: PlatformNode) -> None:
        node = platform.serve(make_route("/safe/"))
        started_at = monotonic()
        node.terminate()
        wait_until(
            lambda: platform.readiness_status() == 503, 1.0, "the node to report that it is leaving"
        )
        assert platform.send_request("/safe/").status == 200
        assert node.wait() == 0
        assert monotonic() - started_at < 2.0

    def test_planned_stop_ends_within_the_grace_period_when_the_store_hangs(
        self, platform: PlatformNode
    ) -> None:
        node = platform.serve(make_route("/safe/"))
        with ThreadPoolExecutor(1) as pool:
            pool.submit(platform.send_request, "/safe/?work_s=5", name="slow")
            wait_until(
                lambda: platform.has_started("slow"),
                EFFECT_WITHIN_S,
                "the instance to run the request",
            )
            platform.set_store_fault("silent")
            started_at = monotonic()
            node.terminate()
            node.wait()
            assert monotonic() - started_at < 2.0

    # Freeing the heap object by object took over a second beside load, beyond the grace period. The
    # interpreter tells of it if it is verbose.
    def test_process_ends_with_its_last_log_line(
        self, platform: PlatformNode, monkeypatch: MonkeyPatch
    ) -> None:
        monkeypatch.setenv("PYTHONVERBOSE", "1")
        node = platform.serve(make_route("/safe/"))
        node.terminate()
        assert node.wait() == 0
        assert node.log_lines()[-1]["message"] == "stop"
        output = node.errors()
        assert "import 'pollenbay.node'" in output
        assert "# clear sys.modules" not in output
        assert "# destroy" not in output

    # A stop that waited with it ended before a slow store had removed the row, which led new nodes
    # to one that had left.
    def test_row_is_removed_while_the_stopping_node_still_serves(
        self, platform: PlatformNode
    ) -> None:
        node = platform.serve(make_route("/safe/"))
        assert platform.stored_nodes()
        node.terminate()
        wait_until(lambda: not platform.stored_nodes(), EFFECT_WITHIN_S, "the row to be removed")
        assert platform.send_request("/safe/").status == 200
        assert node.wait() == 0

    def test_hangup_reloads_settings_without_interruption(self, platform: PlatformNode) -> None:
        node = platform.serve(make_route("/safe/"))
        text = platform.settings_path.read_text(encoding="utf-8")
        platform.settings_path.write_text(text + "log_level: WARNING\n", encoding="utf-8")
        node.popen.send_signal(SIGHUP)
        assert platform.send_request("/safe/").status == 200
        platform.settings_path.write_text("{", encoding="utf-8")
        node.popen.send_signal(SIGHUP)
        assert platform.send_request("/safe/").status == 200
        assert node.alive
        assert platform.readiness_status() == 200

    def test_killed_node_serves_after_restart(self, platform: PlatformNode) -> None:
        platform.restart(platform.serve(make_route("/safe/")))
        platform.check_in()
        wait_until(
            lambda: platform.send_request("/safe/").status == 200,
            EFFECT_WITHIN_S,
            "a successful response",
        )
