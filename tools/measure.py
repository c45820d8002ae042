"""Runs all benchmarks and prints their figures."""

from tools.bench import control, relay


def run_all() -> None:
    """Run the benchmarks one after the other."""
    print('relay: processor time against a bare tornado and curl relay')
    relay.run_benchmark()
    control.run_benchmark()


if __name__ == '__main__':
    run_all()
