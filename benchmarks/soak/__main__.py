"""Command line of the soak tests; exit code 1 if a guarantee was violated."""

from __future__ import annotations

import asyncio
import sys
from typing import Annotated

import typer

from benchmarks.soak import forwarding, outcomes, own

app = typer.Typer(help="Random faults on real processes; lists violated guarantees.")

Seconds = Annotated[float, typer.Option(help="Seconds of faults.")]
Seed = Annotated[int, typer.Option(help="Seed of all random choices.")]


@app.command("own")
def own_interface(seconds: Seconds = 60.0, seed: Seed = 1) -> None:
    """Run the soak test of the product's own interface."""
    account = asyncio.run(own.soak(seconds, seed))
    print(f"seed {seed}, faults {dict(account.faults)}")
    print(
        f"{account.requests} requests: {account.whole} whole, "
        f"{sum(account.refused.values())} refused {dict(account.refused)}, "
        f"{account.cut} cut; {len(account.violations)} violations"
    )
    _end(account.violations)


@app.command()
def forward(
    seconds: Seconds = 60.0,
    seed: Seed = 1,
    seeds: Annotated[int, typer.Option(help="Number of seeds, from `seed` on.")] = 1,
    routers: Annotated[
        int, typer.Option(help="Number of routers.")
    ] = forwarding.ROUTERS,
    planned: Annotated[
        bool, typer.Option(help="Only planned work, silence and faults of the store.")
    ] = False,
    without: Annotated[
        list[str] | None, typer.Option(help="Faults and changes to leave out.")
    ] = None,
    settled: Annotated[
        bool, typer.Option(help="Faults begin once one version is certain.")
    ] = False,
) -> None:
    """Run the soak test of forwarding routers."""
    violations: list[str] = []
    left_out = frozenset(without or ())
    for number in range(seed, seed + seeds):
        account = asyncio.run(
            forwarding.soak(seconds, number, routers, planned, left_out, settled)
        )
        print(f"seed {number}, faults {dict(account.faults)}")
        print("\n".join(outcomes.count_outcomes(account.caller_records)))
        print(
            f"{len(account.caller_records)} requests: {account.whole} whole; "
            f"{len(account.crash_records)} endpoints ended under harmful requests; "
            f"streams resumed by callers, by status: {dict(account.resumptions)}; "
            f"idle connections: {dict(account.idle_ends)}; "
            f"{len(account.violations)} violations",
            flush=True,
        )
        violations += [f"seed {number}: {line}" for line in account.violations]
    _end(violations)


def _end(violations: list[str]) -> None:
    for line in violations:
        print(f"VIOLATION: {line}")
    if violations:
        sys.exit(1)


if __name__ == "__main__":
    app()
