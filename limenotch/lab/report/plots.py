"""The plots of a run or a comparison, from its results. Each is a Matplotlib figure as wide as a phone's page."""

from __future__ import annotations

import io
from collections.abc import Sequence
from typing import Any

import matplotlib

matplotlib.use("Agg")

import numpy as np
from hdrh.histogram import HdrHistogram
from matplotlib import pyplot
from matplotlib.axes import Axes
from matplotlib.colors import ListedColormap, to_rgb
from matplotlib.figure import Figure
from matplotlib.patches import Patch

WIDTH = 4.6  # inches: at a phone's width the text is about as large as the page's
STYLE = {
    "font.size": 8,
    "axes.spines.top": False,
    "axes.spines.right": False,
    "axes.linewidth": 0.6,
    "axes.titlesize": 9,
    "axes.titleweight": "bold",
    "axes.titlelocation": "left",
    "legend.frameon": False,
    "legend.fontsize": 7,
    "lines.linewidth": 1.3,
    "svg.fonttype": "path",
    "svg.hashsalt": "limenotch",
    "xtick.major.width": 0.6,
    "ytick.major.width": 0.6,
    "figure.dpi": 110,
}
# Colours that the colour-blind can distinguish (Okabe and Ito).
BLUE, ORANGE, GREEN, RED, PURPLE, SKY, GREY = (
    "#0072b2",
    "#e69f00",
    "#009e73",
    "#d55e00",
    "#cc79a7",
    "#56b4e9",
    "#8a8a8a",
)
STATE_COLOURS = {"c": SKY, "k": RED, "d": ORANGE, "x": "#333333", "s": PURPLE, "t": "#7b4f00"}
STATE_NAMES = {"c": "cold", "k": "choked", "d": "draining", "x": "down", "s": "silent", "t": "stalled"}
BAND_COLOURS = [ORANGE, SKY, PURPLE, GREEN, RED, BLUE, GREY]
MOST_LABELS = 30


def _figure(height: float) -> tuple[Figure, Axes]:
    figure, axes = pyplot.subplots(figsize=(WIDTH, height), layout="constrained")
    return figure, axes


def _bands(axes: Axes, run: dict[str, Any], named: bool = False) -> None:
    """Draws faults on the time axis, each kind in its colour; `named` adds their names above the plot, in rows."""
    ends: list[float] = []
    length = run["length_ms"] / 1000.0
    for number, band in enumerate(sorted(run["faults"], key=lambda b: b["begin_ms"])):
        begin, end = band["begin_ms"] / 1000.0, band["end_ms"] / 1000.0
        colour = BAND_COLOURS[number % len(BAND_COLOURS)]
        axes.axvspan(begin, end, color=colour, alpha=0.13, linewidth=0)
        if named:
            width = len(band["text"]) * length * 0.0155
            row = next((row for row, taken in enumerate(ends) if taken <= begin), len(ends))
            ends[row : row + 1] = [begin + width]
            left = min(begin, max(length - width, 0.0))
            axes.annotate(
                band["text"],
                (left, 1.02 + 0.075 * row),
                xycoords=("data", "axes fraction"),
                color=colour,
                fontsize=6.5,
                annotation_clip=False,
            )
    axes.set_xlim(0, length)


def _smooth(values: Sequence[float], over: int = 3) -> Any:
    """A running mean, so that single seconds with few requests do not hide the trend."""
    kernel = np.ones(min(over, len(values)))
    whole = np.convolve(np.asarray(values, dtype=float), kernel, "same")
    return whole / np.convolve(np.ones(len(values)), kernel, "same")


def _seconds(run: dict[str, Any]) -> int:
    return int(run["length_ms"] / 1000.0)


def goodput(run: dict[str, Any]) -> Figure:
    """Plots the requested and the earned worth per second."""
    figure, axes = _figure(2.3)
    count = _seconds(run)
    at = np.arange(count) + 0.5
    windows = run["windows"]
    asked, earned = _smooth(windows["worth"][:count]), _smooth(windows["earned"][:count])
    axes.fill_between(at, earned, color=GREEN, alpha=0.35, linewidth=0)
    axes.plot(at, asked, color=GREY, label="asked for")
    axes.plot(at, earned, color=GREEN, label="earned in time")
    _bands(axes, run, named=True)
    axes.set(ylim=(0, None), ylabel="worth a second", xlabel="s")
    axes.legend(loc="lower left", ncols=2)
    return figure


def outcomes(run: dict[str, Any]) -> Figure:
    """Plots the outcomes of client attempts per second, stacked."""
    figure, axes = _figure(2.1)
    count = _seconds(run)
    windows, at = run["windows"], np.arange(count) + 0.5
    names = (("served", GREEN), ("rejected", ORANGE), ("failed", RED), ("timed_out", PURPLE))
    axes.stackplot(
        at,
        *(windows[name][:count] for name, _ in names),
        colors=[colour for _, colour in names],
        labels=[name.replace("_", " ") for name, _ in names],
        alpha=0.75,
        linewidth=0,
    )
    axes.plot(at, windows["tries"][:count], color="black", linewidth=0.8, label="tries begun")
    _bands(axes, run)
    axes.set(ylim=(0, axes.get_ylim()[1] * 1.3), ylabel="a second", xlabel="s", title="How tries ended")
    axes.legend(loc="upper left", ncols=3)
    return figure


def again(run: dict[str, Any]) -> Figure:
    """Plots the clients' retries and the sidecars' further attempts."""
    figure, axes = _figure(1.8)
    count = _seconds(run)
    windows, at = run["windows"], np.arange(count) + 0.5
    axes.plot(at, windows["retries"][:count], color=ORANGE, label="clients' retries")
    axes.plot(at, windows["copies"][:count], color=BLUE, label="further attempts, all tiers")
    _bands(axes, run)
    axes.set(ylim=(0, axes.get_ylim()[1] * 1.25), ylabel="a second", xlabel="s", title="Again")
    axes.legend(loc="upper left", ncols=2)
    return figure


def latency(run: dict[str, Any]) -> Figure:
    """Plots the latency from the creation of a request to its response, by class."""
    figure, axes = _figure(2.1)
    parts = np.concatenate([np.linspace(0, 90, 46), 100 - np.logspace(1, -2, 40)])
    for number, cls in enumerate(run["classes"]):
        hist = HdrHistogram.decode(run["histograms"][cls["name"]].encode("ascii"))
        if hist.get_total_count():
            values = [hist.get_value_at_percentile(part) / 1000.0 for part in parts]
            axes.plot(1 / (1 - parts / 100), values, color=BAND_COLOURS[number % 7], label=cls["name"])
    axes.set(xscale="log", yscale="log", ylabel="ms", title="Latency of those served, by percentile")
    axes.set_xticks([1, 2, 10, 100, 1000], ["0", "50", "90", "99", "99.9"])
    axes.minorticks_off()
    axes.grid(axis="y", alpha=0.25, linewidth=0.5)
    axes.legend(loc="upper left")
    return figure


def fleet(run: dict[str, Any], tier: int) -> Figure:
    """Plots one row per provider: its utilization, and its state where that is not ready."""
    rows = run["samples"]["tiers"][tier]["providers"]
    order = sorted(range(len(rows)), key=lambda n: (rows[n]["kind"], n))
    count = _seconds(run) + 1
    image = np.ones((len(rows), count, 3))
    greys = ListedColormap(pyplot.get_cmap("Greys")(np.linspace(0.02, 0.75, 64)))
    seen: set[str] = set()
    for row, number in enumerate(order):
        states, utils = rows[number]["state"], rows[number]["util"]
        for at in range(min(count, len(states))):
            if states[at] in STATE_COLOURS:
                seen.add(states[at])
                base = np.array(to_rgb(STATE_COLOURS[states[at]]))
                # A provider in warm-up or choked may be idle or full: the fuller, the stronger its colour.
                image[row, at] = 1 - (1 - base) * (0.45 + 0.55 * utils[at]) if states[at] in "ck" else base
            else:
                image[row, at] = greys(utils[at])[:3]
    figure, axes = _figure(min(0.95 + 0.115 * len(rows), 6.5))
    axes.imshow(image, aspect="auto", interpolation="nearest", extent=(0, count, len(rows), 0))
    name = run["tiers"][tier]["name"]
    labels = [f"{rows[n]['kind']} {n}" for n in order]
    step = max(len(rows) // MOST_LABELS, 1)
    axes.set_yticks(np.arange(0, len(rows), step) + 0.5, labels[::step], fontsize=6)
    axes.set(xlabel="s", title=f"{name}: how busy each provider was")
    axes.set_xlim(0, count)
    handles = [Patch(color="#404040", label="busy"), Patch(facecolor="#fafafa", edgecolor="#aaaaaa", label="idle")]
    handles += [Patch(color=STATE_COLOURS[s], label=STATE_NAMES[s]) for s in STATE_NAMES if s in seen]
    figure.legend(handles=handles, loc="outside lower center", ncols=5, handlelength=1)
    return figure


def spread(run: dict[str, Any], tier: int) -> Figure:
    """Plots the load of a tier's providers (median, 90%, maximum) and the number of providers that are not ready."""
    data = run["samples"]["tiers"][tier]["spread"]
    at = np.array(run["samples"]["at_ms"]) / 1000.0
    figure, (axes, below) = pyplot.subplots(
        2, 1, figsize=(WIDTH, 2.9), layout="constrained", sharex=True, height_ratios=(2, 1)
    )
    axes.fill_between(at, data["load_0.1"], data["load_0.9"], color=BLUE, alpha=0.25, linewidth=0, label="10 to 90%")
    axes.plot(at, data["load_0.5"], color=BLUE, label="median")
    axes.plot(at, data["load_1"], color=RED, linewidth=0.8, label="fullest")
    _bands(axes, run)
    axes.set(ylim=(0, None), ylabel="runnable a core", title=f"{run['tiers'][tier]['name']}: load and states")
    axes.legend(loc="upper left", ncols=3)
    for letter, name in STATE_NAMES.items():
        if any(data[name]):
            below.plot(at, data[name], color=STATE_COLOURS[letter], label=name)
    _bands(below, run)
    below.set(ylim=(0, None), ylabel="providers", xlabel="s")
    if below.lines:
        below.legend(loc="upper left", ncols=4)
    return figure


def differences(comparison: Any, shown: Sequence[str]) -> Figure:
    """Plots each metric's difference with its interval, relative to the first variant's value."""
    left_out = ("rules_broken", "cold_push")
    found = [each for each in comparison.differences if each.metric in shown and each.metric not in left_out]
    figure, axes = _figure(0.7 + 0.21 * len(found))
    for row, each in enumerate(found):
        scale = max(abs(each.first), 1e-3) if each.metric.endswith("_ms") else 1.0
        colour = {"better": GREEN, "worse": RED}.get(each.verdict, GREY)
        low, mid, high = each.low / scale, each.mean / scale, each.high / scale
        axes.plot([low, high], [row, row], color=colour, linewidth=2.2, solid_capstyle="butt")
        axes.plot([mid], [row], "o", color=colour, markersize=4)
    axes.axvline(0, color="black", linewidth=0.6)
    axes.set_yticks(range(len(found)), [each.metric for each in found])
    axes.invert_yaxis()
    axes.set_title(f"{comparison.other} less {comparison.first}", loc="left")
    axes.set_xlabel("difference; of times: as a part of the first's")
    axes.spines["left"].set_visible(False)
    axes.tick_params(axis="y", length=0)
    return figure


def pairs(comparison: Any, scores: Sequence[tuple[int, float, float]]) -> Figure:
    """Plots the score of each seed under both variants."""
    figure, axes = _figure(2.1)
    for _, one, two in scores:
        axes.plot(
            [0, 1],
            [one, two],
            color=GREEN if two > one else RED if two < one else GREY,
            marker="o",
            markersize=3,
            linewidth=1,
        )
    axes.set_xticks([0, 1], [comparison.first, comparison.other])
    axes.set(xlim=(-0.3, 1.3), ylabel="score", title="Each seed's score")
    return figure


def of_run(run: dict[str, Any]) -> list[tuple[str, Figure]]:
    """All plots of a run, by name."""
    with matplotlib.rc_context(STYLE):  # type: ignore[arg-type]
        made = [
            ("goodput", goodput(run)),
            ("outcomes", outcomes(run)),
            ("again", again(run)),
            ("latency", latency(run)),
        ]
        for tier, sampled in enumerate(run["samples"]["tiers"]):
            draw = fleet if sampled["providers"] else spread
            made.append((f"tier-{run['tiers'][tier]['name']}", draw(run, tier)))
    return made


def of_comparison(
    comparison: Any, scores: Sequence[tuple[int, float, float]], shown: Sequence[str]
) -> list[tuple[str, Figure]]:
    with matplotlib.rc_context(STYLE):  # type: ignore[arg-type]
        return [("differences", differences(comparison, shown)), ("scores", pairs(comparison, scores))]


def svg(figure: Figure) -> str:
    """The SVG text for a page; the same figure gives the same text."""
    with matplotlib.rc_context(STYLE):  # type: ignore[arg-type]
        out = io.StringIO()
        figure.savefig(out, format="svg", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def png(figure: Figure) -> bytes:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=200, metadata={"Software": None})
    return out.getvalue()


def done(figures: Sequence[tuple[str, Figure]]) -> None:
    """Closes the figures, which Matplotlib stores until then."""
    for _, figure in figures:
        pyplot.close(figure)
