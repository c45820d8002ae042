"""Which software version of a runner may go on with a stream.

A stream is continued only by a runner of the version that began it. Versions
have no order.
"""


def may_serve(required: str | None, version: str, *, stated: bool) -> bool:
    """Return whether a runner may serve a request that requires a version.

    Runners that state no version may be of different ones. They continue each
    other's streams only if no runner of the pool states one.

    :param required: version that began the stream; ``None``: any will do.
    :param version: version of the runner; empty: unknown.
    :param stated: whether any runner of the pool states its version.
    """
    if required is None:
        return True
    return version == required and (bool(version) or not stated)
