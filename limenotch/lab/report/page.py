"""Writes the page of a run or a comparison as one HTML file, and its plots as PNG on request."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from jinja2 import Environment, PackageLoader, StrictUndefined

from ...toml import FaultError
from ..compare import SHOWN, Comparison, Variant
from . import plots

MAX_EVENTS = 40


def _environment() -> Environment:
    environment = Environment(
        loader=PackageLoader("limenotch.lab.report", "."),
        autoescape=True,
        undefined=StrictUndefined,
        trim_blocks=True,
        lstrip_blocks=True,
    )
    environment.filters["percent"] = lambda value: f"{value:.1%}"
    environment.filters["ms"] = lambda value: f"{value:,.0f}"
    environment.filters["three"] = lambda value: f"{value:.3f}"
    return environment


def _write(path: Path, text: str) -> None:
    try:
        path.write_text(text, encoding="utf-8")
    except OSError as error:
        raise FaultError(f"{path}: {error.strerror}") from None


def write_run(path: Path | None, run: dict[str, Any], png: Path | None = None) -> None:
    """Writes the page of a run to `path`, and its plots into the folder `png`, if given. Raises FaultError."""
    figures = plots.of_run(run)
    try:
        images = [(name, plots.svg(figure)) for name, figure in figures]
        if png is not None:
            try:
                png.mkdir(parents=True, exist_ok=True)
                for name, figure in figures:
                    (png / f"{name}.png").write_bytes(plots.png(figure))
            except OSError as error:
                raise FaultError(f"{png}: {error.strerror}") from None
    finally:
        plots.done(figures)
    if path is None:
        return
    text = _environment().get_template("run.html").render(run=run, plots=images, most_events=MAX_EVENTS)
    _write(path, text)


def write_comparison(
    path: Path,
    variants: Sequence[Variant],
    comparisons: Sequence[Comparison],
    runs: dict[tuple[str, str, int], dict[str, Any]],
    whole: bool,
) -> None:
    """Writes the page of a comparison. Raises FaultError."""
    parts = []
    for each in comparisons:
        scores = [
            (
                seed,
                runs[each.first, each.scenario, seed]["metrics"]["score"],
                runs[each.other, each.scenario, seed]["metrics"]["score"],
            )
            for seed in each.seeds
        ]
        figures = plots.of_comparison(each, scores, SHOWN)
        try:
            images = [(name, plots.svg(figure)) for name, figure in figures]
        finally:
            plots.done(figures)
        shown = [found for found in each.differences if found.metric in SHOWN]
        parts.append({"comparison": each, "plots": images, "shown": shown})
    text = _environment().get_template("comparison.html").render(variants=variants, parts=parts, whole=whole)
    _write(path, text)
