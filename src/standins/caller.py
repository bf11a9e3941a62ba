"""Load generator: calls nodes or targets and reports the results of the requests.

Prints a table to standard error and the report as JSON to standard output.
"""

from pathlib import Path

import click
from curio import run
from msgspec.json import decode, encode

from pollenbay.http1 import HttpRequest
from pollenbay.httpclient import connect_http
from standins.listener import LISTEN_ADDRESS
from standins.load import LoadGenerator
from standins.load_settings import LoadSettings, read_load_settings
from standins.load_state import LoadReport, LoadState, RunLogComparison, make_load_state
from standins.pool import make_pool
from standins.queries.load import compare_with_run_logs, format_table, make_report
from standins.target_state import RunLog

RUN_LOG_LIMIT_BYTES = 256 * 1024 * 1024


async def _compare_with_targets(
    state: LoadState, control_ports: tuple[int, ...]
) -> RunLogComparison | None:
    if not control_ports:
        return None
    logs = []
    for port in control_ports:
        client = await connect_http(LISTEN_ADDRESS, port, RUN_LOG_LIMIT_BYTES)
        request = HttpRequest(b"GET", b"/control/runs", [(b"host", b"target")])
        response = await client.exchange(request)
        await client.close()
        logs.append(decode(response.body, type=RunLog))
    return compare_with_run_logs(state, logs)


async def run_load(
    settings: LoadSettings, ports: tuple[int, ...], control_ports: tuple[int, ...]
) -> LoadReport:
    """Run all phases against the entry ports and return the report.

    :param control_ports: control ports of the targets whose run logs are compared with the
        results; empty for no comparison.
    """
    state = make_load_state()
    entries = [make_pool(LISTEN_ADDRESS, port) for port in ports]
    await LoadGenerator(settings, entries, state).run()
    report = make_report(state, settings.phases)
    report.truth = await _compare_with_targets(state, control_ports)
    return report


@click.command()
@click.option("--config", required=True, type=click.Path(exists=True, path_type=Path))
@click.option("--port", "ports", required=True, multiple=True, type=int, help="Port to call.")
@click.option(
    "--target-control",
    "control_ports",
    multiple=True,
    type=int,
    help="Control port of a target whose run log to compare with.",
)
def main(config: Path, ports: tuple[int, ...], control_ports: tuple[int, ...]) -> None:
    """Call nodes as the settings file says, and report what became of it."""
    report = run(run_load, read_load_settings(config), ports, control_ports)
    click.echo(format_table(report), err=True)
    click.echo(encode(report))


if __name__ == "__main__":
    main()
