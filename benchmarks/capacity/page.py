"""Tables and plots of the capacity page."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

from benchmarks.capacity.model import SIZES, Cost, costs  # noqa: E402

if TYPE_CHECKING:
    from pathlib import Path

    from benchmarks.capacity.slopes import Slope

PAGE = "CAPACITY.md"
#: Budgets of a node for control.
CPU_BUDGET = 4.4
MEMORY_BUDGET = 64.0
SENT_BUDGET = 14.0
MEGABYTE = 2**20
#: Slopes shown as plots.
PLOTTED = (
    "scheduling: a round of one grant",
    "exchange: heartbeats, sent",
    "configuration: in force everywhere",
    "caller edge: tokens",
)


def write(slopes: list[Slope], folder: Path) -> None:
    """Write the plots, and the tables between the markers of the page."""
    by_name = {slope.name: slope for slope in slopes}
    draw(by_name, folder)
    page = folder.parent / PAGE
    text = page.read_text()
    text = replace(text, "slopes", slope_table(slopes))
    text = replace(text, "roles", role_tables(by_name))
    text = replace(text, "budgets", budget_table(by_name))
    page.write_text(text)


def replace(text: str, name: str, table: str) -> str:
    """Return `text` with the content between the markers of `name` replaced."""
    begin, end = f"<!-- begin {name} -->", f"<!-- end {name} -->"
    head, _, rest = text.partition(begin)
    _, _, tail = rest.partition(end)
    return f"{head}{begin}\n{table}\n{end}{tail}"


def row(*cells: object) -> str:
    """Return a row of a table."""
    return "| " + " | ".join(map(str, cells)) + " |"


def slope_table(slopes: list[Slope]) -> str:
    """Return the table of slopes."""
    lines = [
        row("cost", "driver", "slope", "intercept", "fit (R²)", "sizes measured"),
        row(*["---"] * 6),
    ]
    for slope in slopes:
        rate, intercept = slope.line
        sizes = ", ".join(f"{size:g}" for size in slope.sizes)
        cell = f"{rate:.4g} {slope.unit}"
        lines.append(
            row(
                slope.name,
                slope.size,
                cell,
                f"{intercept:.4g}",
                f"{slope.fit:.3f}",
                sizes,
            )
        )
    return "\n".join(lines)


def role_tables(slopes: dict[str, Slope]) -> str:
    """Return one table of the costs per node for each size."""
    parts = []
    for size in SIZES:
        lines = [
            f"### {size.name}",
            "",
            row("role", "module", "processor, %", "memory, MB", "KB/s", "messages/s"),
            row(*["---"] * 6),
        ]
        lines += [cost_row(cost) for cost in costs(slopes, size)]
        parts.append("\n".join(lines))
    return "\n\n".join(parts)


def cost_row(cost: Cost) -> str:
    """Return the table row of a role."""
    return row(
        cost.role + (" †" if cost.stretched else ""),
        cost.module,
        f"{cost.cpu:.2f}",
        f"{cost.memory / MEGABYTE:.2f}",
        f"{cost.sent / 1000:.2f}",
        f"{cost.messages:.0f}",
    )


def budget_table(slopes: dict[str, Slope]) -> str:
    """Return the table of control costs per node and their budgets."""
    lines = [
        row("size", "processor, % of 4.4", "memory, MB of 64", "KB/s of 14"),
        row(*["---"] * 4),
    ]
    base = slopes["membership: resident memory"].line[1] / MEGABYTE
    for size in SIZES:
        control = [cost for cost in costs(slopes, size) if cost.control]
        cpu = sum(cost.cpu for cost in control)
        memory = sum(cost.memory for cost in control) / MEGABYTE
        sent = sum(cost.sent for cost in control) / 1000
        mark = " †" if any(cost.stretched for cost in control) else ""
        lines.append(
            row(
                size.name + mark,
                verdict(cpu, CPU_BUDGET),
                verdict(memory, MEMORY_BUDGET),
                verdict(sent, SENT_BUDGET),
            )
        )
    lines.append("")
    lines.append(
        f"Memory is what control adds to an empty process; that one has {base:.0f} MB"
        " resident (interpreter, libraries, and the data path's code)."
        " † A size lies more than ten times past the largest one measured; the"
        " figure shows only that the budget is far exceeded."
    )
    return "\n".join(lines)


def verdict(value: float, budget: float) -> str:
    """Return a value with its percentage of the budget."""
    share = 100 * value / budget
    word = "" if value <= budget else " **exceeded**"
    return f"{value:.2f} ({share:.0f} %){word}"


def draw(slopes: dict[str, Slope], folder: Path) -> None:
    """Plot the measured points and the fitted lines."""
    figure, axes = plt.subplots(2, 2, figsize=(10, 7))
    for axis, name in zip(axes.flat, PLOTTED, strict=True):
        slope = slopes[name]
        rate, intercept = slope.line
        axis.plot(slope.sizes, slope.values, "o", label="measured")
        ends = [min(slope.sizes), max(slope.sizes)]
        axis.plot(ends, [rate * end + intercept for end in ends], label="line")
        axis.set_title(name, fontsize=10)
        axis.set_xlabel(slope.size)
        axis.set_ylabel(slope.unit)
        axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(folder / "slopes.png", dpi=80)
    plt.close(figure)
