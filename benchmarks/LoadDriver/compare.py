#!/usr/bin/env python3
"""Runs the load driver on the product and on the naive router and checks the results against the targets of docs/design.md.

The script uses only the standard library. README.md in this folder describes the modes and defines the measures.

  compare.py SCENARIO                 measures the capacity, then compares the routers at 0.5 and 1.5 times the capacity
  compare.py SCENARIO --mode capacity prints the rate scale at which the load equals the capacity
  compare.py SCENARIO --mode ablation disables the mechanisms of the policy one at a time, at 1.5 times the capacity
"""

import argparse
import json
import pathlib
import statistics
import subprocess
import sys

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
MECHANISMS = ["admission", "minimum-share", "long-request-limit", "slow-endpoints", "hedging", "prefix-affinity", "fair-sharing", "adaptive-concurrency"]
CAPACITY_SCALES = [0.5, 1.0, 1.5, 2.0, 3.0]
# If the driver sends requests later than this, it measures its own delays instead of those of the router.
LATE_DRIVER_MS = 50
# At half the capacity the product counts as no worse than the naive router within these tolerances, which are below the
# differences between equal runs.
RATE_TOLERANCE = 0.005
RELATIVE_TOLERANCE = 0.05
LATENCY_TOLERANCE_MS = 20


def drive(arguments, seed, router="product", scale=1.0, extra=()):
    """Runs the load driver once and returns its report. Records a warning if the driver sent requests late."""
    command = [str(arguments.binaries / "load-driver"), "--scenario", arguments.scenario, "--seed", str(seed), "--rate-scale", f"{scale:.4f}"]
    command += ["--without", router.removeprefix("without ")] if router.startswith("without ") else ["--router", router]
    command += extra
    if arguments.duration_s:
        command += ["--duration-s", str(arguments.duration_s)]
    print(f"seed {seed}, {router}, rate scale {scale:.3g} {' '.join(extra)}", file=sys.stderr, flush=True)
    result = subprocess.run(command, capture_output=True, text=True)
    if result.returncode != 0:
        sys.exit(f"load-driver failed: {' '.join(command)}\n{result.stderr}")
    report = json.loads(result.stdout)
    send_delay_ms = quantile(report["total"], "sendDelayMs", "p99")
    if send_delay_ms > LATE_DRIVER_MS:
        arguments.warnings.append(f"the driver sent late (99th percentile {send_delay_ms:.0f} ms): seed {seed}, {router}, rate scale {scale:.3g}")
    return report


def quantile(summary, name, which):
    return summary[name].get(which, 0.0)


def count(reasons):
    return sum(reasons.values())


def measures(report):
    """Returns the measures of one run by name. Goodput is in tokens per second of the scenario's duration."""
    seconds = report["durationSeconds"]
    values = {
        "goodput tokens/s": report["total"]["goodputTokens"] / seconds,
        "wasted tokens": report["wastedTokens"],
        "first token p99 ms": quantile(report["models"], "firstTokenMs", "p99"),
        "short first token p50 ms": quantile(report["shortWork"], "firstTokenMs", "p50"),
        "short first token p99 ms": quantile(report["shortWork"], "firstTokenMs", "p99"),
        "refused": count(report["total"]["refusals"]),
        "failed": count(report["total"]["failures"]),
        "repeated runs": report["repeatedRuns"],
    }
    for tier, summary in report["modelTiers"].items():
        values[f"attainment tier {tier}"] = summary["attainment"]
    for name, summary in report["classes"].items():
        values[f"attainment {name}"] = summary["attainment"]
        if summary["firstTokenMs"]:
            values[f"first token p99 {name} ms"] = quantile(summary, "firstTokenMs", "p99")
        elif summary["durationMs"]:
            values[f"completion p99 {name} ms"] = quantile(summary, "durationMs", "p99")
    return values


def summarise(reports):
    """Returns median, minimum and maximum of each measure over the reports."""
    rows = [measures(report) for report in reports]
    result = {}
    for name in dict.fromkeys(name for row in rows for name in row):
        values = [row[name] for row in rows if name in row]
        result[name] = {"median": statistics.median(values), "min": min(values), "max": max(values)}
    return result


def measure_capacity(arguments):
    """Returns the measured points, the highest goodput and the rate scale at which the offered tokens equal that goodput."""
    seeds = range(1, arguments.capacity_seeds + 1)
    points = []
    for scale in CAPACITY_SCALES:
        reports = [drive(arguments, seed, "product", scale, ["--steady"]) for seed in seeds]
        offered = statistics.median(report["offeredTokens"] / report["durationSeconds"] for report in reports)
        goodput = statistics.median(report["total"]["goodputTokens"] / report["durationSeconds"] for report in reports)
        points.append({"scale": scale, "offeredPerSecond": offered, "goodputPerSecond": goodput})
    highest = max(point["goodputPerSecond"] for point in points)
    per_scale = statistics.median(point["offeredPerSecond"] / point["scale"] for point in points)
    return {"points": points, "goodputPerSecond": highest, "scale": highest / per_scale}


def run_cases(arguments, cases):
    """Runs all cases in turn for each seed, so that changes in the load of the machine affect all of them equally."""
    reports = {name: [] for name in cases}
    for seed in range(1, arguments.seeds + 1):
        for name, (router, scale, extra) in cases.items():
            reports[name].append(drive(arguments, seed, router, scale, extra))
    return reports


def judge(met, text):
    return f"{'met' if met else 'missed'}: {text}"


def ratio(value, base):
    return value / base if base else (1.0 if value == 0 else float("inf"))


def wait_of_short_work(reports, idle):
    """Returns the median over the reports of the p99 time to first token of short work, less idle: the shortest one in any run."""
    return statistics.median(max(0.0, quantile(report["shortWork"], "firstTokenMs", "p99") - idle) for report in reports)


def judge_overload(reports, summaries, high, slow):
    """Returns one line per target at the high load; slow is the case with slowed engines, or None."""
    product, naive = summaries[f"product {high}"], summaries[f"naive {high}"]
    lines = []
    tier = min(reports[f"product {high}"][0]["modelTiers"])
    alone = summaries[f"product {high} top tier alone"][f"attainment tier {tier}"]["median"]
    top = product[f"attainment tier {tier}"]["median"]
    text = f"attainment of tier {tier} {top:.3f}, target at least 0.99 ({top - 0.99:+.3f}); alone {alone:.3f}"
    lines.append(judge(top >= 0.99, text) if alone >= 0.99 else f"not applicable: {text}, so that the capacity does not suffice for the tier alone")
    gain = ratio(product["goodput tokens/s"]["median"], naive["goodput tokens/s"]["median"])
    lines.append(judge(gain >= 1.5, f"goodput {gain:.2f} times naive, target at least 1.5 ({gain - 1.5:+.2f})"))
    ours, theirs = product["wasted tokens"]["median"], naive["wasted tokens"]["median"]
    lines.append(judge(ours <= theirs / 4, f"wasted tokens {ours:.0f} against {theirs:.0f}, target at most a quarter ({ours - theirs / 4:+.0f})"))
    both = reports[f"product {high}"] + reports[f"naive {high}"]
    idle = min((report["shortWork"]["firstTokenMs"]["min"] for report in both if report["shortWork"]["firstTokenMs"]), default=0.0)
    ours, theirs = wait_of_short_work(reports[f"product {high}"], idle), wait_of_short_work(reports[f"naive {high}"], idle)
    lines.append(judge(ours <= theirs / 5, f"wait of short work p99 {ours:.0f} ms against {theirs:.0f} ms, target at most a fifth ({ours - theirs / 5:+.0f} ms)"))
    for name in ("first token p99 ms", "short first token p99 ms"):
        if slow:
            share = ratio(summaries[slow][name]["median"], product[name]["median"])
            lines.append(judge(share <= 2, f"{name} with slowed engines {share:.2f} times that without, target at most 2 ({share - 2:+.2f})"))
    return [f"at {high}: {line}" for line in lines]


def lost_measures(product, naive):
    """Yields a text for each measure in which the product is worse than the naive router by more than the tolerance."""
    for name in sorted(set(product) & set(naive)):
        ours, theirs = product[name]["median"], naive[name]["median"]
        if name.startswith(("attainment", "goodput")):
            allowed = RATE_TOLERANCE if name.startswith("attainment") else RELATIVE_TOLERANCE * theirs
            worse = theirs - ours
        else:
            allowed = RELATIVE_TOLERANCE * theirs + (LATENCY_TOLERANCE_MS if name.endswith("ms") else 0)
            worse = ours - theirs
        if worse > allowed:
            yield f"{name} {ours:.4g} against {theirs:.4g}"


def judge_half(summaries, low):
    """Returns the line that states whether the product is no worse than the naive router at the low load."""
    lost = list(lost_measures(summaries[f"product {low}"], summaries[f"naive {low}"]))
    return [f"at {low}: " + judge(not lost, "; ".join(lost) or "nothing lost against naive in any measure")]


def cell(entry):
    return f"{entry['median']:.5g} ({entry['min']:.5g} to {entry['max']:.5g})" if entry else "-"


def table(summaries):
    """Returns a Markdown table with one row per measure and one column per case."""
    names = list(dict.fromkeys(name for summary in summaries.values() for name in summary))
    lines = ["| measure | " + " | ".join(summaries) + " |", "|---" * (len(summaries) + 1) + "|"]
    lines += ["| " + " | ".join([name] + [cell(summary.get(name)) for summary in summaries.values()]) + " |" for name in names]
    return "\n".join(lines)


def nice_ceiling(value):
    """Returns a round number that is not less than the value, as the upper end of an axis."""
    magnitude = 10.0 ** len(str(int(value))) / 10 if value >= 1 else 0.1
    return next(step * magnitude for step in (1, 2, 2.5, 5, 10, 20) if step * magnitude >= value) if value > 0 else 1.0


def panel(title, summaries, name, top, colours):
    """Returns the SVG elements of a bar chart: one bar per case at the median, with the range over the seeds as a line."""
    width, height, left = 900, 150, 70
    ceiling = nice_ceiling(max(summary[name]["max"] for summary in summaries.values() if name in summary))
    bottom = top + height
    parts = [f'<text x="{left}" y="{top - 8}" font-weight="bold">{title}</text>']
    for step in range(5):
        y = bottom - height * step / 4
        parts.append(f'<line x1="{left}" y1="{y:.1f}" x2="{left + width}" y2="{y:.1f}" stroke="#ddd"/>')
        parts.append(f'<text x="{left - 6}" y="{y + 4:.1f}" text-anchor="end">{ceiling * step / 4:g}</text>')
    gap = width / len(summaries)
    for index, (case, summary) in enumerate(summaries.items()):
        if name not in summary:
            continue
        x, bar = left + gap * (index + 0.2), gap * 0.6
        entry = {key: height * value / ceiling for key, value in summary[name].items()}
        parts.append(f'<rect x="{x:.1f}" y="{bottom - entry["median"]:.1f}" width="{bar:.1f}" height="{entry["median"]:.1f}" fill="{colours[case]}"/>')
        middle = x + bar / 2
        parts.append(f'<line x1="{middle:.1f}" y1="{bottom - entry["min"]:.1f}" x2="{middle:.1f}" y2="{bottom - entry["max"]:.1f}" stroke="#000" stroke-width="2"/>')
    parts.append(f'<line x1="{left}" y1="{bottom}" x2="{left + width}" y2="{bottom}" stroke="#000"/>')
    parts.append(f'<line x1="{left}" y1="{top}" x2="{left}" y2="{bottom}" stroke="#000"/>')
    return parts


def plot(title, summaries):
    """Returns an SVG document with one panel per measure."""
    palette = ["#1f77b4", "#ff7f0e", "#2ca02c", "#d62728", "#9467bd", "#8c564b", "#e377c2", "#7f7f7f", "#bcbd22", "#17becf", "#1a1a60", "#7a3b00", "#0f5c0f", "#700000"]
    colours = {case: palette[index % len(palette)] for index, case in enumerate(summaries)}
    tiers = sorted({name for summary in summaries.values() for name in summary if name.startswith("attainment tier")})
    names = tiers + ["goodput tokens/s", "wasted tokens", "first token p99 ms", "short first token p99 ms"]
    parts = [f'<text x="70" y="24" font-size="16">{title}: medians, with the range over the seeds</text>']
    for index, case in enumerate(summaries):
        x, y = 70 + 300 * (index % 3), 40 + 18 * (index // 3)
        parts.append(f'<rect x="{x}" y="{y}" width="12" height="12" fill="{colours[case]}"/><text x="{x + 18}" y="{y + 11}">{case}</text>')
    top = 40 + 18 * ((len(summaries) + 2) // 3) + 40
    for name in names:
        parts += panel(name, summaries, name, top, colours)
        top += 150 + 45
    head = f'<svg xmlns="http://www.w3.org/2000/svg" width="1000" height="{top}" font-family="sans-serif" font-size="12">'
    return "\n".join([head, '<rect width="100%" height="100%" fill="#fff"/>', *parts, "</svg>"]) + "\n"


def write_results(arguments, mode, capacity, reports, summaries, lines):
    """Writes the results as JSON, Markdown and SVG, and prints the Markdown text."""
    arguments.output.mkdir(parents=True, exist_ok=True)
    stem = arguments.output / f"{pathlib.Path(arguments.scenario).stem}-{mode}"
    document = {"scenario": arguments.scenario, "seeds": arguments.seeds, "capacity": capacity, "targets": lines, "warnings": arguments.warnings, "summaries": summaries, "runs": reports}
    stem.with_suffix(".json").write_text(json.dumps(document, indent=1) + "\n")
    notes = "".join(f"- {line}\n" for line in lines + [f"warning: {warning}" for warning in arguments.warnings])
    heading = f"{pathlib.Path(arguments.scenario).stem}, {mode}, {arguments.seeds} seeds, capacity at rate scale {capacity['scale']:.3g}"
    text = f"# {heading}\n\nMedians, with the range over the seeds.\n\n{table(summaries)}\n\n{notes}"
    stem.with_suffix(".md").write_text(text)
    stem.with_suffix(".svg").write_text(plot(heading, summaries))
    print(text)


def compare(arguments, capacity):
    """Compares the product with the naive router at both loads, and at the high load with each set of faults."""
    low, high = (f"{load:g}x" for load in arguments.loads)
    scale = {name: load * capacity["scale"] for name, load in zip((low, high), arguments.loads)}
    cases = {f"{router} {load}": (router, scale[load], []) for load in (low, high) for router in ("product", "naive")}
    cases[f"product {high} top tier alone"] = ("product", scale[high], ["--only-top-tier"])
    for faults in arguments.faults:
        for router in ("product", "naive"):
            cases[f"{router} {high} {faults}"] = (router, scale[high], ["--faults", faults])
    reports = run_cases(arguments, cases)
    summaries = {name: summarise(runs) for name, runs in reports.items()}
    slow = f"product {high} slow-engines"
    lines = judge_overload(reports, summaries, high, slow if slow in reports else None) + judge_half(summaries, low)
    write_results(arguments, "compare", capacity, reports, summaries, lines)


def ablate(arguments, capacity):
    """Compares the product with variants that lack one mechanism of the policy, at the high load."""
    scale = arguments.loads[1] * capacity["scale"]
    routers = ["product"] + [f"without {name}" for name in MECHANISMS]
    # All runs have slowed engines, since two of the mechanisms have no effect without them.
    cases = {router: (router, scale, ["--faults", "slow-engines"]) for router in routers}
    reports = run_cases(arguments, cases)
    write_results(arguments, "ablation", capacity, reports, {name: summarise(runs) for name, runs in reports.items()}, [])


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("scenario", help="scenario file")
    parser.add_argument("--mode", choices=["compare", "capacity", "ablation"], default="compare")
    parser.add_argument("--binaries", type=pathlib.Path, default=ROOT / "build/release/bin", help="folder of the built programs")
    parser.add_argument("--output", type=pathlib.Path, default=ROOT / "build/measurements", help="folder of the results")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--capacity-scale", type=float, help="rate scale that equals the capacity; measured when left out")
    parser.add_argument("--capacity-seeds", type=int, default=1, help="runs per rate scale when the capacity is measured")
    parser.add_argument("--loads", type=float, nargs=2, default=[0.5, 1.5], help="multiples of the capacity")
    parser.add_argument("--faults", nargs="*", default=["slow-engines"], help="sets of faults of the scenario to run as well, at the higher load")
    parser.add_argument("--duration-s", type=float, default=0, help="shorter runs, for trials only")
    arguments = parser.parse_args()
    arguments.warnings = []
    return arguments


def main():
    arguments = parse_arguments()
    capacity = {"scale": arguments.capacity_scale} if arguments.capacity_scale else measure_capacity(arguments)
    if arguments.mode == "capacity":
        print(json.dumps(capacity, indent=1))
    elif arguments.mode == "ablation":
        ablate(arguments, capacity)
    else:
        compare(arguments, capacity)


if __name__ == "__main__":
    main()
