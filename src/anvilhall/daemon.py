"""Entry point of the daemon; holds reload signals back while it starts."""

import signal


def run_daemon() -> None:
    """Run one entry instance with the settings file of the command line."""
    # The imports take a third of a second, in which the signal's default
    # action would end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    from anvilhall.service import run_service  # noqa: WPS433

    run_service()


if __name__ == '__main__':
    run_daemon()
