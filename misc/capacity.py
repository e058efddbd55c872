#!/usr/bin/env python3
"""Computes the tables of docs/CAPACITY.md from what `make slopes` printed.

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
WAKE_SHARE_PER_HOUR = 0.084
REQUESTS_PER_SECOND = 12_000
TOKENS_PER_SECOND = 2_600_000
CPU_LIMIT_PERCENT = 2.2
MEMORY_LIMIT_MB = 64
BYTES_LIMIT = 18_000
CHANGES_OF_A_WAKE = 4  # decide, loaded, unload, gone
BYTES_OF_A_CHANGE = 150


def read(path):
    """Rest rows by (role, size) and single figures by first word."""
    rest = collections.defaultdict(list)
    single = {}
    for line in open(path):
        words = line.split()
        if len(words) < 3:
            continue
        if words[0] == "rest":
            values = dict(zip(words[4::2], map(float, words[5::2])))
            rest[words[1], words[2]].append((float(words[3]), values))
        else:
            single.setdefault(words[0], []).append(words[1:])
    return rest, single


def slope(points, name):
    """Least squares: value at size zero and growth with size."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(v[name] for _, v in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    rise = sum((x - mean_x) * (v[name] - mean_y) for x, v in points) / spread
    return mean_y - rise * mean_x, rise


def main():
    rest, single = read(sys.argv[1])
    print("| role | at rest MB | KB a row | B/s sent at rest | B/s an agent | CPU % at rest |")
    print("|---|---|---|---|---|---|")
    for role in ("leader", "follower", "entry", "agent"):
        rows, agents = rest[role, "rows"], rest[role, "agents"]
        base, per_row = slope(rows, "memory_mb")
        sent, per_agent = slope(agents, "sent_bytes_s")
        cpu = sorted(v["cpu_percent"] for _, v in agents)[len(agents) // 2]
        print(f"| {role} | {base:.1f} | {per_row * 1000:.2f} | {sent:.0f} |"
              f" {per_agent:.0f} | {cpu:.2f} |")
    print()
    rows = MODELS + ADAPTERS
    wakes = rows * WAKE_SHARE_PER_HOUR / 3600
    changes = CHANGES_PER_DAY / 86_400 + wakes * CHANGES_OF_A_WAKE
    push = changes * BYTES_OF_A_CHANGE
    agents = ENGINES / REGIONS
    _, leader_agent = slope(rest["leader", "agents"], "sent_bytes_s")
    _, leader_cpu = slope(rest["leader", "agents"], "cpu_percent")
    print("| figure | value | limit | kind |")
    print("|---|---|---|---|")
    print(f"| wakes and idlings a second, whole fleet | {wakes:.2f} | | computed |")
    print(f"| changes a second, whole fleet | {changes:.1f} | | computed |")
    print(f"| pushed to an entry that holds everything, B/s | {push:.0f} | {BYTES_LIMIT} | computed |")
    for role in ("leader", "follower", "entry"):
        base, per_row = slope(rest[role, "rows"], "memory_mb")
        print(f"| memory of {role} with all {rows} rows, MB |"
              f" {base + per_row * rows:.0f} | {MEMORY_LIMIT_MB} | computed |")
        half = base + per_row * rows / REGIONS
        print(f"| the same with one region's share of the adapters, MB |"
              f" {half:.0f} | {MEMORY_LIMIT_MB} | computed |")
    agent = rest["agent", "agents"][0][1]
    print(f"| agent memory, MB | {agent['memory_mb']:.1f} | {MEMORY_LIMIT_MB} | measured |")
    print(f"| agent sent, B/s | {agent['sent_bytes_s']:.0f} | {BYTES_LIMIT} | measured |")
    print(f"| agents of one region's leader | {agents:.0f} | | computed |")
    print(f"| that leader sends, KB/s | {agents * leader_agent / 1000:.0f} | | computed |")
    print(f"| that leader's CPU for agents, % of a core |"
          f" {max(0.0, agents * leader_cpu):.0f} | | computed, from {leader_cpu:.3f} an agent |")
    stream = dict(zip(single["stream"][0][0::2], map(float, single["stream"][0][1::2])))
    for role in ("entry", "agent"):
        cost = stream[f"{role}_cpu_us_per_token"]
        cores = cost * TOKENS_PER_SECOND / 1e6
        where = NODES if role == "entry" else ENGINES
        print(f"| {role} cores for {TOKENS_PER_SECOND} tokens a second |"
              f" {cores:.0f} over {where}: {100 * cores / where:.1f} % each | | computed |")


main()
