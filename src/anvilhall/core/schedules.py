"""Decides whether a schedule is active at a given time."""

import datetime as dt
import zoneinfo

from anvilhall.core.settings import Schedule, Window


def is_active(schedule: Schedule, now: dt.datetime) -> bool:
    """Return whether a time lies in one of a schedule's windows.

    :param now: aware time in any zone, converted to the schedule's zone.
    """
    local = now.astimezone(zoneinfo.ZoneInfo(schedule.timezone))
    return any(_contains(window, local) for window in schedule.windows)


def _contains(window: Window, local: dt.datetime) -> bool:
    clock_time = local.time()
    today = local.weekday()
    if window.start <= window.end:
        inside = window.start <= clock_time < window.end
        return inside and today in window.days
    # The window crosses midnight and belongs to the day on which it starts.
    if clock_time >= window.start:
        return today in window.days
    yesterday = (local - dt.timedelta(days=1)).weekday()
    return clock_time < window.end and yesterday in window.days
