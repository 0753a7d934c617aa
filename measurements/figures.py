"""The type of figure that all experiments return."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Figure:
    """One measured value and its baseline.

    Attributes
    ----------
    name, unit : str
        Snake-case name and unit; ``1`` for a ratio.
    baseline : float or None
        The same figure of the naive or earlier method; None if there is none.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None

    def line(self) -> str:
        """Return the printed form: ``name value unit baseline=value``."""
        baseline = "none" if self.baseline is None else f"{self.baseline:.4g}"
        return f"{self.name} {self.value:.4g} {self.unit} baseline={baseline}"


def percentile(values: list[float], share: float) -> float:
    """Return the value at ``share`` (0 to 1) of the sorted values; 0.0 of an empty list."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
