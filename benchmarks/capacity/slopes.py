"""Costs measured at several sizes, with fitted lines."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

#: Factor of the largest measured size up to which costs are extrapolated.
REACH = 10


@dataclass
class Slope:
    """A cost as a function of a size.

    Attributes
    ----------
    name : str
        Name of the cost.
    size : str
        Name of the size on which it depends.
    unit : str
        Unit of the cost.
    sizes, values : list of float
        Measured sizes, at least three, and costs.
    """

    name: str
    size: str
    unit: str
    sizes: list[float]
    values: list[float]

    @property
    def line(self) -> tuple[float, float]:
        """Return the slope and intercept of the least-squares line."""
        slope, intercept = np.polyfit(self.sizes, self.values, 1)
        return float(slope), float(intercept)

    @property
    def fit(self) -> float:
        """Return the coefficient of determination of the line."""
        slope, intercept = self.line
        values = np.array(self.values)
        errors = values - (slope * np.array(self.sizes) + intercept)
        spread = float(((values - values.mean()) ** 2).sum())
        return 1.0 - float((errors**2).sum()) / spread if spread else 1.0

    def at(self, size: float) -> float:
        """Return the cost at `size`, including the intercept.

        Raises
        ------
        ValueError
            If `size` is more than `REACH` times the largest measured one.
        """
        if size > REACH * max(self.sizes):
            raise ValueError(f"{self.name}: {size} is too far past {max(self.sizes)}")
        slope, intercept = self.line
        return max(0.0, slope * size + intercept)

    def each(self, count: float) -> float:
        """Return `count` times the slope, without the intercept."""
        return self.line[0] * count

    def reaches(self, size: float) -> bool:
        """Return whether `size` is within the range of extrapolation."""
        return size <= REACH * max(self.sizes)
