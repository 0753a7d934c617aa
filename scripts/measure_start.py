"""Measures run time and peak memory of a command over several runs.

Usage: python scripts/measure_start.py [--runs N] COMMAND...
The time is that of the whole process; the memory is the largest VmHWM while it runs.
"""

from __future__ import annotations

import argparse
import os
import pathlib
import re
import statistics
import subprocess
import sys
import time

POLL_S = 0.005


def measure(command: list[str]) -> tuple[float, float, int]:
    """Return wall time and CPU time in seconds and the largest resident memory in KiB."""
    started_at = time.monotonic()
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    peak_kib = 0
    while True:
        exited_pid, _, usage = os.wait4(process.pid, os.WNOHANG)
        if exited_pid:
            break
        # An exited process has no VmHWM; the largest value before the exit counts.
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        match = re.search(r"VmHWM:\s+(\d+) kB", status)
        peak_kib = max(peak_kib, int(match[1]) if match else 0)
        time.sleep(POLL_S)
    process.returncode = 0
    return time.monotonic() - started_at, usage.ru_utime + usage.ru_stime, peak_kib


def main() -> int:
    """Print the figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--runs", type=int, default=15)
    parser.add_argument("command", nargs=argparse.REMAINDER)
    options = parser.parse_args()
    results = [measure(options.command) for _ in range(options.runs)]
    seconds = [result[0] for result in results]
    print(
        f"runs={options.runs} median_s={statistics.median(seconds):.3f} max_s={max(seconds):.3f} "
        f"cpu_median_s={statistics.median(result[1] for result in results):.3f} "
        f"peak_mib={max(result[2] for result in results) / 1024:.1f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
