#!/usr/bin/env python3
"""Runs the load driver on the product and on the naive router in turn and prints medians and ranges as Markdown.

Standard library only. Example: benchmarks/LoadDriver/compare.py benchmarks/LoadDriver/scenarios/mixed.toml
"""

import argparse
import json
import statistics
import subprocess


def run(arguments, router, seed):
    command = [f"{arguments.binaries}/load-driver", "--scenario", arguments.scenario, "--seed", str(seed), "--router", router]
    return json.loads(subprocess.run(command, check=True, capture_output=True, text=True).stdout)


def flatten(value, prefix=""):
    """Yields the numbers of a report with their path."""
    for name, member in value.items():
        if isinstance(member, dict):
            yield from flatten(member, f"{prefix}{name}.")
        elif isinstance(member, (int, float)) and not isinstance(member, bool):
            yield f"{prefix}{name}", member


def describe(values):
    return f"{statistics.median(values):.3g} ({min(values):.3g} to {max(values):.3g})"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("scenario")
    parser.add_argument("--binaries", default="build/release/bin", help="folder of the built programs")
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args()
    reports = {"product": [], "naive": []}
    for seed in range(1, arguments.seeds + 1):
        for router in reports:
            reports[router].append(dict(flatten(run(arguments, router, seed))))
    names = sorted(set().union(*(report for runs in reports.values() for report in runs)) - {"seed"})
    print("| measure | product | naive |\n|---|---|---|")
    for name in names:
        cells = [describe([report.get(name, 0) for report in runs]) for runs in reports.values()]
        print(f"| {name} | {cells[0]} | {cells[1]} |")


if __name__ == "__main__":
    main()
