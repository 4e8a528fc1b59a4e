"""A cost measured at several sizes, and the straight line through it."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

#: Times the largest measured size beyond which nothing is said.
REACH = 10


@dataclass
class Slope:
    """One cost against one size.

    Attributes
    ----------
    name : str
        What costs.
    size : str
        What drives it.
    unit : str
        Unit of the cost, for one unit of the size.
    sizes, values : list of float
        The measurement, at least three sizes.
    """

    name: str
    size: str
    unit: str
    sizes: list[float]
    values: list[float]

    @property
    def line(self) -> tuple[float, float]:
        """Return slope and intercept of the least-squares line."""
        slope, intercept = np.polyfit(self.sizes, self.values, 1)
        return float(slope), float(intercept)

    @property
    def fit(self) -> float:
        """Return the coefficient of determination of the line, 1 for a line."""
        slope, intercept = self.line
        values = np.array(self.values)
        errors = values - (slope * np.array(self.sizes) + intercept)
        spread = float(((values - values.mean()) ** 2).sum())
        return 1.0 - float((errors**2).sum()) / spread if spread else 1.0

    def at(self, size: float) -> float:
        """Return the cost at `size`, intercept included.

        Raises
        ------
        ValueError
            If `size` lies more than `REACH` times past the largest measured one.
        """
        if size > REACH * max(self.sizes):
            raise ValueError(f"{self.name}: {size} is too far past {max(self.sizes)}")
        slope, intercept = self.line
        return max(0.0, slope * size + intercept)

    def each(self, count: float) -> float:
        """Return `count` times the slope, without the intercept."""
        return self.line[0] * count

    def reaches(self, size: float) -> bool:
        """Return whether the measurement says anything about `size`."""
        return size <= REACH * max(self.sizes)
