"""Print the results of all runs in the form shown in docs/MODEL.md."""

from time import perf_counter

import click

from spec.runs import (
    MUTANT_MAX_STATES,
    check,
    correct_models,
    mutant_models,
    reachability_models,
)


@click.command()
@click.option("--traces", is_flag=True, help="Print the steps of each counterexample.")
def main(traces: bool) -> None:
    """Check the models, their mutants and what must be reachable."""
    started = perf_counter()
    print_correct_models()
    print_mutants(traces)
    print_reachable()
    click.echo(f"total: {perf_counter() - started:.0f} s")


def print_correct_models() -> None:
    """Print the number of states and the invariants that hold, for each model without a fault."""
    for name, protocol in correct_models().items():
        started = perf_counter()
        result = check(protocol)
        held = sum(finding.holds is True for finding in result.findings.values())
        click.echo(
            f"{name}: {result.states} states, exhaustive {result.exhaustive},"
            f" {held} of {len(result.findings)} invariants hold,"
            f" {perf_counter() - started:.1f} s"
        )


def print_mutants(traces: bool) -> None:
    """Print the length of the shortest counterexample of each mutant."""
    for name, (protocol, broken) in mutant_models().items():
        trace = check(protocol, MUTANT_MAX_STATES).findings[broken].trace
        click.echo(f"{name}: breaks {broken} in {len(trace)} steps")
        if traces:
            click.echo("".join(f"    {step}\n" for step in trace), nl=False)


def print_reachable() -> None:
    """Print the length of the shortest path to each state that must be reachable."""
    for name, protocol in reachability_models().items():
        for reached, finding in check(protocol).findings.items():
            click.echo(f"{name} reaches {reached} in {len(finding.trace)} steps")


if __name__ == "__main__":
    main()
