"""The whole path on the users' platform, with real processes and stand-ins around one node."""

import json
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from signal import SIGHUP
from time import monotonic

from harness import Processes, send, wait_until
from platform_node import READY_WITHIN_S, SERVICE, PlatformNode, config, path
from pytest import fixture, mark

WITHIN_S = 5.0


@fixture(scope="module")
def served(tmp_path_factory) -> Iterator[PlatformNode]:
    """Return a node that serves one route of each kind."""
    folder: Path = tmp_path_factory.mktemp("platform")
    with Processes(folder) as processes:
        platform = PlatformNode(processes, folder)
        platform.serve(
            path("/safe/"),
            path("/unsafe/", "unsafe"),
            path("/short/", timeout_ms=300),
        )
        yield platform


@fixture
def platform(tmp_path) -> Iterator[PlatformNode]:
    """Return the platform's stand-ins with a node that has not been started."""
    with Processes(tmp_path) as processes:
        yield PlatformNode(processes, tmp_path)


class TestRequests:
    """Requests of clients."""

    def test_answer_and_what_the_instance_sees(self, served: PlatformNode) -> None:
        headers = {
            "x-pollenbay-deadline-ms": "900",
            "x-pollenbay-caller-service": "forged",
            "x-pollenbay-target-instance": "forged",
        }
        answer = served.ask("/safe/a?b=c", "POST", body=b"bale", name="a1", headers=headers)
        assert (answer.status, answer.body) == (200, b"answer to a1")
        assert answer.headers["x-pollenbay-server-signature"] == "signed"
        run = next(run for run in served.runs() if run["name"] == "a1")
        assert (run["method"], run["path"], run["body"]) == ("POST", "/safe/a?b=c", "bale")
        assert run["origin"] == SERVICE
        assert 0 < run["deadline_ms"] <= 900

    def test_are_counted_with_their_time(self, platform: PlatformNode) -> None:
        node = platform.serve(path("/safe/"), path("/short/", timeout_ms=300))
        assert platform.ask("/short/?work_s=1").status == 504
        text = send(node.ready["admin"], "/metrics").body.decode("utf-8")
        counted = 'pollenbay_call_seconds_count{call_class="normal",outcome="%s"}'
        lines = dict(line.rsplit(" ", 1) for line in text.splitlines() if line[0] != "#")
        assert float(lines[counted % "answered"]) >= 1.0
        assert float(lines[counted % "unknown"]) == 1.0

    def test_no_route(self, served: PlatformNode) -> None:
        assert served.ask("/none/").status == 404

    def test_without_a_name(self, served: PlatformNode) -> None:
        assert served.ask("/safe/", name="").status == 400

    def test_the_route_ends_the_wait(self, served: PlatformNode) -> None:
        begun_at = monotonic()
        answer = served.ask("/short/?spoil=hang", name="h1")
        assert answer.status == 504
        assert 0.2 < monotonic() - begun_at < 0.8

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
    def test_spoiled_answers(self, served: PlatformNode, spoil: str, status: int) -> None:
        name = f"unsafe-{spoil}"
        answer = served.ask(f"/unsafe/?spoil={spoil}", "POST", body=b"x", name=name)
        assert answer.status == status
        if status == 200:
            assert answer.body == b"answer to " + name.encode()
        else:
            assert "x-pollenbay-server-signature" not in answer.headers
        ran = sum(run["name"] == name for run in served.runs())
        assert ran == (0 if spoil == "refused" else 1)
        assert served.ask("/safe/", name="after").body == b"answer to after"

    def test_a_refusal_tells_when_to_come_back(self, served: PlatformNode) -> None:
        answer = served.ask("/unsafe/?spoil=refused", "POST", body=b"x")
        assert 0.0 < float(answer.headers["retry-after"]) < 2.0


class TestCheckIns:
    """What the instance says of itself."""

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
    def test_unreadable_ones_are_refused_and_change_nothing(
        self, served: PlatformNode, body: bytes
    ) -> None:
        assert served.put_check_in(body).status == 400
        assert served.ask("/safe/").status == 200

    def test_of_another_address(self, served: PlatformNode) -> None:
        assert served.check_in(address="127.0.0.1:9").status == 400
        assert served.ask("/safe/").status == 200

    def test_an_unknown_state(self, served: PlatformNode) -> None:
        assert served.check_in("sleeping").status == 400

    def test_leaving_instance_gets_no_more(self, platform: PlatformNode) -> None:
        platform.serve(path("/safe/"))
        assert platform.check_in("draining").status == 200
        wait_until(lambda: platform.ask("/safe/").status == 503, 2.0, "no more requests")
        before = len(platform.runs())
        assert platform.ask("/safe/").status == 503
        assert len(platform.runs()) == before


class TestStore:
    """The configuration, through outages of the store."""

    def test_in_force_soon_after_it_is_written(self, platform: PlatformNode) -> None:
        platform.serve(path("/safe/"))
        platform.publish(config(5, path("/safe/"), path("/new/")))
        wait_until(lambda: platform.ask("/new/").status == 200, 2.0, "the new route")

    def test_an_older_one_is_passed_over(self, platform: PlatformNode) -> None:
        platform.serve(path("/safe/"))
        platform.publish(config(5, path("/safe/"), path("/new/")))
        wait_until(lambda: platform.ask("/new/").status == 200, 2.0, "the new route")
        platform.publish(config(4, path("/safe/")))
        platform.publish(b"{")
        platform.publish(config(6, path("/safe/"), path("/new/"), path("/newer/")))
        wait_until(lambda: platform.ask("/newer/").status == 200, 2.0, "the newer route")
        assert platform.ask("/new/").status == 200

    @mark.parametrize("mode", ["down", "busy", "silent"])
    def test_served_on_while_it_is_away(self, platform: PlatformNode, mode: str) -> None:
        platform.serve(path("/safe/"))
        platform.fault(mode)
        wait_until(lambda: platform.ask("/safe/").status == 200, WITHIN_S, "an answer")
        assert platform.ready() == 200
        platform.publish(config(5, path("/safe/"), path("/new/")))
        platform.fault("up")
        wait_until(lambda: platform.ask("/new/").status == 200, WITHIN_S, "the new route")

    def test_before_any_configuration(self, platform: PlatformNode) -> None:
        platform.start()
        answer = platform.ask("/safe/")
        assert answer.status == 503
        assert platform.ready() == 503


class TestLife:
    """Signals and settings."""

    def test_planned_stop_ends_within_the_grace(self, platform: PlatformNode) -> None:
        node = platform.serve(path("/safe/"))
        begun_at = monotonic()
        node.terminate()
        wait_until(lambda: platform.ready() == 503, 1.0, "the node to say that it leaves")
        assert platform.ask("/safe/").status == 200
        assert node.wait() == 0
        assert monotonic() - begun_at < 2.0

    def test_planned_stop_ends_within_the_grace_though_nothing_answers(
        self, platform: PlatformNode
    ) -> None:
        node = platform.serve(path("/safe/"))
        with ThreadPoolExecutor(1) as pool:
            pool.submit(platform.ask, "/safe/?work_s=5", name="slow")
            wait_until(lambda: platform.has_run("slow"), WITHIN_S, "the instance to run it")
            platform.fault("silent")
            begun_at = monotonic()
            node.terminate()
            node.wait()
            assert monotonic() - begun_at < 2.0

    def test_hangup_keeps_serving_and_reloads(self, platform: PlatformNode) -> None:
        node = platform.serve(path("/safe/"))
        text = platform.settings_path.read_text(encoding="utf-8")
        platform.settings_path.write_text(text + "log_level: WARNING\n", encoding="utf-8")
        node.popen.send_signal(SIGHUP)
        assert platform.ask("/safe/").status == 200
        platform.settings_path.write_text("{", encoding="utf-8")
        node.popen.send_signal(SIGHUP)
        assert platform.ask("/safe/").status == 200
        assert node.alive
        assert platform.ready() == 200

    def test_serves_again_after_it_was_killed(self, platform: PlatformNode) -> None:
        platform.serve(path("/safe/")).kill()
        platform.start()
        wait_until(lambda: platform.ready() == 200, READY_WITHIN_S, "the node to be ready")
        platform.check_in()
        wait_until(lambda: platform.ask("/safe/").status == 200, WITHIN_S, "an answer")
