"""Runs all benchmarks."""

from tools.bench import control, relay


def run_all() -> None:
    """Run each benchmark in turn."""
    print('relay: processor time against a bare tornado and curl relay')
    relay.run_benchmark()
    control.run_benchmark()


if __name__ == '__main__':
    run_all()
