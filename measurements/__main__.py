"""Run the experiments in measurements/ and print one line per figure."""

from __future__ import annotations

import argparse
import importlib
import sys
import time

MODULES_BY_NAME = {
    "placement": "measurements.placement",
    "hot-keys": "measurements.hot_keys",
    "choice": "measurements.choice",
    "retries": "measurements.retries",
    "crash": "measurements.crash",
    "slopes": "measurements.slopes",
    "control-cost": "measurements.control_cost",
    "recovery": "measurements.recovery",
    "limits": "measurements.limits",
    "fast-path": "measurements.fast_path",
}


def main() -> None:
    """Run the selected experiments, by default all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", action="append", choices=sorted(MODULES_BY_NAME), default=[])
    chosen = parser.parse_args().only or list(MODULES_BY_NAME)
    for name in chosen:
        started = time.perf_counter()
        for figure in importlib.import_module(MODULES_BY_NAME[name]).run():
            print(figure.line(), flush=True)
        print(f"# {name}: {time.perf_counter() - started:.1f} s", file=sys.stderr)


if __name__ == "__main__":
    main()
