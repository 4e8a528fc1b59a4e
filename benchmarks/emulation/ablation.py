"""Ablation of the scheduler: measures its worth without each mechanism.

``python -m benchmarks.emulation.ablation resale`` runs the same loads with all
mechanisms and without each one. Mechanisms are disabled by changing constants of the
product.
"""

from __future__ import annotations

import contextlib
import statistics
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Any

import typer

from benchmarks.emulation.__main__ import net_of, play
from benchmarks.emulation.deployments import DEPLOYMENTS
from benchmarks.emulation.run import Policy
from carawayfold.coordination.scheduling import (
    copy_sources,
    placement,
    rejections,
    scheduler,
)
from carawayfold.state import usage

if TYPE_CHECKING:
    from collections.abc import Iterator

    from benchmarks.emulation.deployments import EmulatedDeployment

app = typer.Typer(help="Switches mechanisms of the scheduler off, one by one.")


@dataclass(frozen=True, slots=True)
class Mechanism:
    """A mechanism, and the value of its constant that disables it."""

    name: str
    module: Any
    constant: str
    off: float

    @contextlib.contextmanager
    def switched_off(self) -> Iterator[None]:
        """Disable the mechanism within a block."""
        value = getattr(self.module, self.constant)
        setattr(self.module, self.constant, self.off)
        try:
            yield
        finally:
            setattr(self.module, self.constant, value)


MECHANISMS = (
    Mechanism(
        "copies between engines", copy_sources, "MIN_COPIED_TOKENS", float("inf")
    ),
    Mechanism("kept prefixes go first", placement, "REPEATED_PREFILL_WEIGHT", 0.0),
    Mechanism("late choices are avoided", placement, "LATE_PENALTY", 0.0),
    Mechanism("prompts wait here", placement, "READ_AHEAD_DURATION", 1.0),
    Mechanism("half for work beyond a share", scheduler, "BEYOND_SHARE_FRACTION", 1.0),
    Mechanism("the worst served organisation", usage, "BEHIND_FRACTION", 0.0),
    Mechanism("the worst served kind", scheduler, "MIN_SERVED_RATIO", 0.0),
    Mechanism("long prompts may miss", rejections, "OWN_PREFILL_FRACTION", 0.0),
    Mechanism("predictions may miss", rejections, "PREDICTION_MARGIN", 0.0),
    Mechanism("late work waits a little", rejections, "LATE_WAIT_FRACTION", 0.0),
)


#: Constants examined by `sensitivity`.
CONSTANTS = (
    (placement, "READ_AHEAD_DURATION"),
    (placement, "REPEATED_PREFILL_WEIGHT"),
    (placement, "COPY_WEIGHT"),
    (placement, "LATE_PENALTY"),
    (placement, "FULL_ENGINE_PENALTY"),
    (placement, "FAILURE_PENALTY"),
    (scheduler, "BEYOND_SHARE_FRACTION"),
    (scheduler, "MIN_SERVED_RATIO"),
    (scheduler, "SERVED_HALF_LIFE"),
    (scheduler, "FIXED_COST_TOKENS"),
    (rejections, "PREDICTION_MARGIN"),
    (rejections, "OWN_PREFILL_FRACTION"),
    (rejections, "LATE_WAIT_FRACTION"),
    (rejections, "LATE_RETRY_FACTOR"),
    (rejections, "MAX_RETRY_FRACTION"),
    (usage, "BEHIND_FRACTION"),
)


def net_worth(
    deployment: EmulatedDeployment, factor: float, seed: int, seconds: float
) -> float:
    """Return the net worth of one run with a single scheduler."""
    report = play(deployment, Policy.ONE, factor, seed, seconds, flood=True)
    return net_of(report, deployment)


@app.command()
def ablate(
    name: Annotated[str, typer.Argument(help="altiplano, tipanan or resale.")],
    factor: float = 1.0,
    seeds: int = 3,
    seconds: float = 10.0,
) -> None:
    """Print the worth with all mechanisms, and the loss without each one."""
    deployment = DEPLOYMENTS[name]
    numbers = range(1, seeds + 1)
    whole = [net_worth(deployment, factor, seed, seconds) for seed in numbers]
    typer.echo(f"{'all':32} {statistics.mean(whole):6.3f}")
    for mechanism in MECHANISMS:
        with mechanism.switched_off():
            without = [net_worth(deployment, factor, seed, seconds) for seed in numbers]
        lost = [before - after for before, after in zip(whole, without, strict=True)]
        spread = max(lost) - min(lost)
        typer.echo(
            f"{mechanism.name:32} {statistics.mean(lost):+6.3f}  spread {spread:5.3f}"
        )


@app.command()
def sensitivity(
    name: Annotated[str, typer.Argument(help="altiplano, tipanan or resale.")],
    factor: float = 1.3,
    seeds: int = 2,
    seconds: float = 8.0,
) -> None:
    """Print the change of worth with half and twice the value of each constant."""
    deployment = DEPLOYMENTS[name]
    numbers = range(1, seeds + 1)
    whole = [net_worth(deployment, factor, seed, seconds) for seed in numbers]
    typer.echo(f"{'all':24} {statistics.mean(whole):6.3f}    half   twice")
    for module, constant in CONSTANTS:
        value = getattr(module, constant)
        gained = []
        for changed in (value / 2, value * 2):
            mechanism = Mechanism(constant, module, constant, changed)
            with mechanism.switched_off():
                other = [
                    net_worth(deployment, factor, seed, seconds) for seed in numbers
                ]
            gained.append(statistics.mean(other) - statistics.mean(whole))
        typer.echo(f"{constant:24} {value:6} {gained[0]:+8.3f} {gained[1]:+7.3f}")


if __name__ == "__main__":
    app()
