#!/usr/bin/env python3
"""Computes the tables of docs/CAPACITY.md from the output of `make slopes`.

usage: misc/capacity.py docs/slopes.txt
"""
import collections
import sys

ENGINES = 12_000
NODES = 390
REGIONS = 7
ZONES = 22
MODELS = 410
ADAPTERS = 66_000
CHANGES_PER_DAY = 27_000
COLD_LOAD_FRACTION_PER_HOUR = 0.084
REQUESTS_PER_SECOND = 12_000
TOKENS_PER_SECOND = 2_600_000
CPU_LIMIT_PERCENT = 2.2
MEMORY_LIMIT_MB = 64
BYTES_PER_SECOND_LIMIT = 18_000
CHANGES_PER_LOAD_CYCLE = 4  # load ordered, loaded, unload ordered, unloaded
BYTES_PER_CHANGE = 150


def read(path):
    """Returns the "rest" lines (idle processes) by role and size, and others by first word."""
    idle = collections.defaultdict(list)
    single = {}
    for line in open(path):
        words = line.split()
        if len(words) < 3:
            continue
        if words[0] == "rest":
            values = dict(zip(words[4::2], map(float, words[5::2])))
            idle[words[1], words[2]].append((float(words[3]), values))
        else:
            single.setdefault(words[0], []).append(words[1:])
    return idle, single


def fit_line(points, name):
    """Fits a line by least squares; returns its value at size 0 and its slope."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(v[name] for _, v in points) / n
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (v[name] - mean_y) for x, v in points) / squared_deviations
    return mean_y - slope * mean_x, slope


def main():
    idle, single = read(sys.argv[1])
    print("| role | idle MB | KB per row | B/s sent when idle | B/s per agent | CPU % when idle |")
    print("|---|---|---|---|---|---|")
    for role in ("leader", "follower", "entry", "agent"):
        rows, agents = idle[role, "rows"], idle[role, "agents"]
        base, per_row = fit_line(rows, "memory_mb")
        sent, per_agent = fit_line(agents, "sent_bytes_s")
        cpu = sorted(v["cpu_percent"] for _, v in agents)[len(agents) // 2]
        print(f"| {role} | {base:.1f} | {per_row * 1000:.2f} | {sent:.0f} |"
              f" {per_agent:.0f} | {cpu:.2f} |")
    print()
    rows = MODELS + ADAPTERS
    load_cycles = rows * COLD_LOAD_FRACTION_PER_HOUR / 3600
    changes = CHANGES_PER_DAY / 86_400 + load_cycles * CHANGES_PER_LOAD_CYCLE
    sent_bytes = changes * BYTES_PER_CHANGE
    agents = ENGINES / REGIONS
    _, leader_agent = fit_line(idle["leader", "agents"], "sent_bytes_s")
    _, leader_cpu = fit_line(idle["leader", "agents"], "cpu_percent")
    print("| figure | value | limit | kind |")
    print("|---|---|---|---|")
    print(f"| load and unload cycles per second, whole fleet | {load_cycles:.2f} | | computed |")
    print(f"| changes per second, whole fleet | {changes:.1f} | | computed |")
    print(f"| sent to an entry that holds all rows, B/s | {sent_bytes:.0f} | {BYTES_PER_SECOND_LIMIT} | computed |")
    for role in ("leader", "follower", "entry"):
        base, per_row = fit_line(idle[role, "rows"], "memory_mb")
        print(f"| memory of {role} with all {rows} rows, MB |"
              f" {base + per_row * rows:.0f} | {MEMORY_LIMIT_MB} | computed |")
        regional = base + per_row * rows / REGIONS
        print(f"| the same with one region's share of the adapters, MB |"
              f" {regional:.0f} | {MEMORY_LIMIT_MB} | computed |")
    agent = idle["agent", "agents"][0][1]
    print(f"| agent memory, MB | {agent['memory_mb']:.1f} | {MEMORY_LIMIT_MB} | measured |")
    print(f"| agent sent, B/s | {agent['sent_bytes_s']:.0f} | {BYTES_PER_SECOND_LIMIT} | measured |")
    print(f"| agents per region leader | {agents:.0f} | | computed |")
    print(f"| sent by that leader, KB/s | {agents * leader_agent / 1000:.0f} | | computed |")
    print(f"| that leader's CPU for agents, % of a core |"
          f" {max(0.0, agents * leader_cpu):.0f} | | computed, from {leader_cpu:.3f} per agent |")
    stream = dict(zip(single["stream"][0][0::2], map(float, single["stream"][0][1::2])))
    for role in ("entry", "agent"):
        cost = stream[f"{role}_cpu_us_per_token"]
        cores = cost * TOKENS_PER_SECOND / 1e6
        processes = NODES if role == "entry" else ENGINES
        print(f"| {role} cores for {TOKENS_PER_SECOND} tokens per second |"
              f" {cores:.0f} over {processes}: {100 * cores / processes:.1f} % each | | computed |")


main()
