"""Runs a case: ``python3 -m harness.main FOLDER trouble|calm``.

``calm`` leaves the disruption out; ``run.sh`` chooses it by ``TROUBLE=0``.

The folder has ``case.py`` with a coroutine ``play(site, record, trouble)``,
which returns the ways in which the rule was broken. Exit codes: 1 if it was, 0
if it held, 2 if the case could not run.
"""

import asyncio
import importlib.util
import pathlib
import sys
import traceback

from harness.site import Record, Site

_LIMIT_S = 115


async def _play(case, record, trouble):
    site = Site(record)
    try:
        async with asyncio.timeout(_LIMIT_S):
            return await case.play(site, record, trouble)
    finally:
        site.close()


def run(folder, *, trouble):
    """Run the case, with its disruption or without, and return the exit code."""
    record = Record(folder)
    record.note('case', folder.name, 'with' if trouble else 'without', 'the disruption')
    try:
        spec = importlib.util.spec_from_file_location('case', folder / 'case.py')
        case = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(case)
        broken = asyncio.run(_play(case, record, trouble))
    except Exception:
        record.note('the case could not run:', traceback.format_exc())
        traceback.print_exc()
        return 2
    for line in broken:
        record.note('BROKEN:', line)
    verdict = f'rule broken {len(broken)} times' if broken else 'rule held'
    record.note(verdict)
    print(verdict)
    return 1 if broken else 0


if __name__ == '__main__':
    folder, kind = sys.argv[1:]
    sys.exit(run(pathlib.Path(folder).resolve(), trouble=kind != 'calm'))
