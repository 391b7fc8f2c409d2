"""Runs benchmark measures and prints their findings: ``python -m hibiscushaven.bench``."""

import json
import os
import time
from dataclasses import asdict
from pathlib import Path

import click

from . import at_scale, clusters, control, policies  # noqa: F401  (registers the measures)
from .measures import FULL, MEASURES, QUICK, Finding

__all__ = ["main"]

_TABLE_HEADER = (
    "measure",
    "case",
    "baseline",
    "before",
    "this version",
    "ratio",
    "target",
    "holds",
)


@click.command()
@click.argument("names", nargs=-1, metavar="[MEASURE]...")
@click.option("--quick/--full", "is_quick", default=True, help="Size of the runs.")
@click.option("--json", "is_json", is_flag=True, help="Print findings as JSON, one a line.")
@click.option(
    "--sockets",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Findings of scripts/bench_sockets.sh to include.",
)
def main(names: tuple[str, ...], is_quick: bool, is_json: bool, sockets: Path | None) -> None:
    """Run measures, all of them by default, and print one table."""
    unknown = set(names) - MEASURES.keys()
    if unknown:
        known = ", ".join(MEASURES)
        raise click.UsageError(f"no measure {min(unknown)!r}; expected some of {known}")
    scale = QUICK if is_quick else FULL
    findings: list[Finding] = []
    for name in names or MEASURES:
        started = time.monotonic()
        findings += MEASURES[name](scale)
        load = os.getloadavg()[0]
        seconds = time.monotonic() - started
        click.echo(f"{name}: {seconds:.0f} s, load average {load:.1f}", err=True)
    if sockets is not None:
        findings += _read_findings(sockets)
    lines = _json_lines(findings) if is_json else _table_lines(findings)
    for line in lines:
        click.echo(line)


def _read_findings(path: Path) -> list[Finding]:
    lines = path.read_text(encoding="utf-8").splitlines()
    found = (json.loads(line) for line in lines)
    return [Finding.from_json(item) for item in found]


def _json_lines(findings: list[Finding]) -> list[str]:
    return [
        json.dumps(asdict(item) | {"ratio": item.ratio, "holds": item.holds}) for item in findings
    ]


def _table_lines(findings: list[Finding]) -> list[str]:
    rows = [_TABLE_HEADER, *(_table_row(item) for item in findings)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(_TABLE_HEADER))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]


def _table_row(item: Finding) -> tuple[str, ...]:
    target = "" if item.bound is None else str(item.bound)
    if item.is_ratio_bound:
        target = f"ratio {target}"
    return (
        item.measure,
        item.case,
        item.baseline or "-",
        "-" if item.before is None else f"{item.before:.4g}",
        f"{item.ours:.4g} {item.unit}",
        "-" if item.ratio is None else f"{item.ratio:.3g}",
        target or "-",
        {None: "-", True: "yes", False: "NO"}[item.holds],
    )


if __name__ == "__main__":
    main()
