"""Compares scheduling policies by load: ``python -m benchmarks.emulation --help``."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import typer

from benchmarks.emulation.deployments import DEPLOYMENTS, EmulatedDeployment
from benchmarks.emulation.harm import HarmPlan
from benchmarks.emulation.load import Load
from benchmarks.emulation.run import Emulation, Policy, Report

app = typer.Typer(help="Emulates engines and load in simulated time.")

#: Price of a retried request that is refused again, as a fraction of its worth.
REFUSED_AGAIN = 0.3
#: Load of the flooding organisation, as a multiple of its usual load.
FLOOD = 7.0


@dataclass(frozen=True, slots=True)
class Row:
    """Policy, load and worth of one run."""

    policy: str
    factor: float
    benefit: float
    net: float


def net_of(report: Report, deployment: EmulatedDeployment) -> float:
    """Return the fraction of worth earned, less prefills, copies and refusals."""
    owed = sum(kind.owed for kind in report.kinds.values())
    tokens = report.reread / 1000 * deployment.reread_price
    tokens += report.copied / 1000 * deployment.copy_price
    return report.benefit - (tokens + REFUSED_AGAIN * report.refused_again) / owed


def play(
    deployment: EmulatedDeployment,
    policy: Policy,
    factor: float,
    seed: int,
    seconds: float,
    flood: bool = False,
    lost: bool = False,
    harmful: HarmPlan | None = None,
) -> Report:
    """Run one load.

    Parameters
    ----------
    flood : bool
        Whether one organisation sends many times its usual load.
    lost : bool
        Whether an engine is lost for a quarter of the run.
    harmful : HarmPlan, optional
        Requests that crash the engines that run them.
    """
    hot = {"organisation-3": FLOOD} if flood else {}
    down = {0: (seconds / 4, seconds / 2)} if lost else {}
    emulation = Emulation(
        Load(deployment.kinds, seed, factor, hot=hot),
        deployment.engines,
        deployment.model,
        deployment.throughput,
        seconds,
        down,
        policy,
        harmful=harmful,
    )
    return emulation.run()


@app.command()
def compare(
    name: Annotated[
        str, typer.Argument(help="altiplano, tipanan or resale.")
    ] = "altiplano",
    seed: int = 1,
    seconds: float = 18.0,
    flood: bool = False,
    lost: bool = False,
    plot: Annotated[Path | None, typer.Option(help="Where to write a PNG.")] = None,
) -> None:
    """Compare one scheduler with a scheduler per router and with first come."""
    deployment = DEPLOYMENTS[name]
    rows = []
    for policy in Policy:
        for factor in (0.6, 0.8, 1.0, 1.2, 1.4):
            report = play(deployment, policy, factor, seed, seconds, flood, lost)
            net = net_of(report, deployment)
            rows.append(Row(policy.value, factor, report.benefit, net))
            typer.echo(
                f"{policy.value:12} load {factor:.1f}  earned {report.benefit:6.3f}"
                f"  net {net:6.3f}  decisions {report.decision_time:5.2f} s"
            )
    if plot is not None:
        draw(rows, name, plot)


@app.command()
def contain(
    name: Annotated[
        str, typer.Argument(help="altiplano, tipanan or resale.")
    ] = "altiplano",
    contents: int = 1,
    seeds: int = 3,
    seconds: float = 18.0,
    factor: float = 0.8,
) -> None:
    """Compare runs with and without containment of harmful requests."""
    deployment = DEPLOYMENTS[name]
    plans = {
        "none": None,
        "go on": HarmPlan(contents, contained=False),
        "contained": HarmPlan(contents),
    }
    for title, plan in plans.items():
        for seed in range(1, seeds + 1):
            report = play(deployment, Policy.ONE, factor, seed, seconds, harmful=plan)
            typer.echo(f"{title:10} seed {seed}  {describe(report, deployment)}")


def describe(report: Report, deployment: EmulatedDeployment) -> str:
    """Return the worth of a run and the effects of harmful requests."""
    row = f"earned {report.benefit:6.3f}  net {net_of(report, deployment):6.3f}"
    harm = report.harm
    if harm is None:
        return row
    return (
        f"{row}  engines ended {harm.ends.total():3}  requests lost {harm.lost:4}"
        f"  sent again {harm.repeated:4}  no budget {harm.unaffordable:4}"
        f"  refused {harm.refused:3}"
    )


def draw(rows: list[Row], name: str, path: Path) -> None:
    """Write a plot of the net worth over the load."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(6, 4))
    for policy in Policy:
        chosen = [row for row in rows if row.policy == policy.value]
        axes.plot(
            [row.factor for row in chosen],
            [row.net for row in chosen],
            marker="o",
            label=policy.value,
        )
    axes.set_xlabel("load, times the busiest of the sheets")
    axes.set_ylabel("net worth, part of what is owed")
    axes.set_title(name)
    axes.grid(alpha=0.3)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=100)


if __name__ == "__main__":
    app()
