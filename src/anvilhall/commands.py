"""The operators' command-line interface.

Exit codes: 0 success; 1 the settings have faults; 2 wrong usage; 3 another
publication of the team came first; 4 the outcome is unknown; 5 the platform or
an instance can't be reached.
"""

import asyncio
import pathlib
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

import click
import msgspec

from anvilhall.core.policies import DEFAULT_POLICY
from anvilhall.core.settings import Fault, JsonObject, SettingsFaulty
from anvilhall.decoding import decode_json
from anvilhall.exceptions import (
    AnvilhallError,
    MalformedData,
    PlatformError,
    UnknownName,
)
from anvilhall.local import LocalConfig, split_address
from anvilhall.logservice import HttpLogClient, LogClient
from anvilhall.operators import Status
from anvilhall.outbound import Call, CurlOutbound, Outbound
from anvilhall.publishing import (
    PublishOutcome,
    PublishReport,
    SettingsHistory,
    build_publication,
    check_nodes,
    format_json,
    list_changes,
    publish_team,
    read_settings,
)
from anvilhall.replay.player import run_replay
from anvilhall.replay.scores import ReplayScore
from anvilhall.replay.traces import Trace

EXIT_FAULTS = 1
EXIT_LOST = 3
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5

_STATUS_TIMEOUT_S = 2.0

_EXITS = {
    PublishOutcome.ACCEPTED: 0,
    PublishOutcome.FAULTY: EXIT_FAULTS,
    PublishOutcome.LOST: EXIT_LOST,
    PublishOutcome.UNKNOWN: EXIT_UNKNOWN,
    PublishOutcome.NOT_WRITTEN: EXIT_UNREACHABLE,
}

_Returned = TypeVar('_Returned')
_Command = TypeVar('_Command', bound=Callable[..., Any])

_settings_file = click.argument(
    'settings_file',
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
_log_option = click.option(
    '--log',
    'log_url',
    envvar='ANVILHALL_LOG_URL',
    required=True,
    help='URL of the log service.',
)
_instances_option = click.option(
    '--instance',
    'instances',
    envvar='ANVILHALL_INSTANCES',
    multiple=True,
    required=True,
    help="URL of the operators' interface of an instance; repeatable.",
)
_json_option = click.option(
    '--json',
    'as_json',
    is_flag=True,
    help='Print JSON for scripts.',
)


@click.group()
@click.version_option(package_name='anvilhall')
def run_command() -> None:
    """Check, publish and monitor the settings of anvilhall."""


@run_command.command('check')
@_settings_file
@_json_option
def check_settings(settings_file: pathlib.Path, as_json: bool) -> None:
    """Check SETTINGS_FILE, without the settings in force; list all faults."""
    raw = _read_file(settings_file)
    try:
        tree = check_nodes(raw)
    except SettingsFaulty as error:
        _print_faults(error.faults, as_json)
        sys.exit(EXIT_FAULTS)
    summary = {
        'teams': len(raw),
        'classes': len(tree.classes),
        'pools': len(tree.pools),
    }
    if as_json:
        click.echo(format_json({'faults': [], **summary}))
    else:
        click.echo(
            f'no faults: {summary["teams"]} teams, '
            f'{summary["classes"]} classes, {summary["pools"]} pools',
        )


@run_command.command('check-process')
@_settings_file
def check_process(settings_file: pathlib.Path) -> None:
    """Check SETTINGS_FILE as the configuration of one process."""
    try:
        config = LocalConfig.from_file(settings_file)
        for address in config.list_addresses():
            split_address(address)
    except SettingsFaulty as error:
        _print_faults(error.faults, as_json=False)
        sys.exit(EXIT_FAULTS)
    role = 'relay' if config.relay else 'chat and services'
    click.echo(f'no faults: {config.instance}, {role}')


@run_command.command('diff')
@_settings_file
@_log_option
@_json_option
def diff_settings(
    settings_file: pathlib.Path,
    log_url: str,
    as_json: bool,
) -> None:
    """Show what publishing SETTINGS_FILE would change."""
    raw = _read_file(settings_file)
    history = _run_with_log(log_url, read_settings)
    lines = list_changes(raw, history.state)
    if as_json:
        click.echo(format_json({'changed': bool(lines), 'lines': lines}))
    else:
        click.echo('\n'.join(lines) or 'no changes')


@run_command.command('publish')
@_settings_file
@_log_option
@click.option('--team', 'only_team', help='Publish this team only.')
@click.option(
    '--based-on',
    type=int,
    help='Version of the team that the file is based on; by default the '
    'version in force.',
)
@click.option(
    '--patience',
    type=float,
    default=10,
    show_default=True,
    help='Seconds to search the log for the result of a publication.',
)
@_json_option
def publish_settings(
    settings_file: pathlib.Path,
    log_url: str,
    only_team: str | None,
    based_on: int | None,
    patience: float,
    as_json: bool,
) -> None:
    """Publish the teams of SETTINGS_FILE that differ from those in force."""
    raw = _select_team(_read_file(settings_file), only_team)
    if based_on is not None and len(raw) != 1:
        raise click.UsageError('--based-on needs a single team: add --team')

    async def publish(log: LogClient) -> list[PublishReport]:  # noqa: WPS430
        history = await read_settings(log)
        check_nodes(raw, history.state)
        return await _publish_changes(log, raw, history, based_on, patience)

    reports = _run_with_log(log_url, publish)
    _print_reports(reports, as_json)
    sys.exit(max([_EXITS[report.outcome] for report in reports], default=0))


@run_command.command('show')
@_log_option
@click.option('--team', default=None, help='Path of one team; default: all.')
@click.option(
    '--effective',
    is_flag=True,
    help='Show all classes with inherited and default values.',
)
def show_settings(log_url: str, team: str | None, effective: bool) -> None:
    """Print the settings in force as JSON."""
    history = _run_with_log(log_url, read_settings)
    if team is not None and team not in history.state.teams:
        raise click.BadParameter(f'no team {team!r}', param_hint='--team')
    if effective:
        classes = history.state.tree.classes
        if team is not None:
            names = history.state.teams[team].node.get('classes', {})
            classes = {name: classes[name] for name in names}
        shown = {name: _list_fields(entry) for name, entry in classes.items()}
        click.echo(format_json(shown))
        return
    nodes = {path: part.node for path, part in history.state.teams.items()}
    if team is not None:
        nodes = {team: nodes[team]}
    click.echo(format_json(nodes))


@run_command.command('history')
@_log_option
@_json_option
def show_history(log_url: str, as_json: bool) -> None:
    """List the publications that the log retains, with their results."""
    history = _run_with_log(log_url, read_settings)
    if as_json:
        verdicts = [verdict for _, verdict in history.publications]
        click.echo(format_json(msgspec.to_builtins(verdicts)))
        return
    for publication, verdict in history.publications:
        outcome = verdict.code or f'accepted as version {verdict.version}'
        click.echo(
            f'{verdict.offset}  {publication.team or "(root)"}  '
            f'{publication.author}  {publication.id}  {outcome}',
        )


@run_command.command('status')
@_instances_option
@_json_option
def show_status(instances: tuple[str, ...], as_json: bool) -> None:
    """Show the settings version and state of each instance."""
    statuses = _run_async(_read_statuses(instances))
    if as_json:
        click.echo(format_json(msgspec.to_builtins(statuses)))
    else:
        _print_statuses(statuses)
    if None in statuses.values():
        sys.exit(EXIT_UNREACHABLE)


@run_command.command('watch')
@_instances_option
@click.option('--every', type=float, default=1, show_default=True)
@click.option(
    '--times',
    type=int,
    default=0,
    help='Number of times to print the status; 0: no limit.',
)
@click.option(
    '--until-version',
    type=int,
    help='Stop when every instance has at least this settings version.',
)
def watch_instances(
    instances: tuple[str, ...],
    every: float,
    times: int,
    until_version: int | None,
) -> None:
    """Print the status of the instances at an interval."""
    printed = 0
    while True:
        statuses = _run_async(_read_statuses(instances))
        _print_statuses(statuses)
        printed += 1
        if until_version is not None and _have_version(statuses, until_version):
            return
        if printed == times:
            return
        time.sleep(every)


@run_command.command('replay')
@click.argument(
    'trace_file',
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    '--settings',
    'settings_file',
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option('--policy', default=DEFAULT_POLICY, show_default=True)
@click.option('--seed', type=int, default=1, show_default=True)
@_json_option
def replay_trace(
    trace_file: pathlib.Path,
    settings_file: pathlib.Path,
    policy: str,
    seed: int,
    as_json: bool,
) -> None:
    """Replay TRACE_FILE with settings and a policy, in virtual time."""
    raw = _read_file(settings_file)
    try:
        check_nodes(raw)
        trace = Trace.from_file(trace_file)
        score = run_replay(trace, raw, policy, seed)
    except SettingsFaulty as error:
        _print_faults(error.faults, as_json)
        sys.exit(EXIT_FAULTS)
    except UnknownName as error:
        raise click.UsageError(error.reason) from error
    if as_json:
        click.echo(format_json(msgspec.to_builtins(score)))
    else:
        _print_score(score)


async def _publish_changes(
    log: LogClient,
    raw: JsonObject,
    history: SettingsHistory,
    based_on: int | None,
    timeout_s: float,
) -> list[PublishReport]:
    reports: list[PublishReport] = []
    for team, node in sorted(raw.items()):
        part = history.state.teams.get(team)
        if part and part.node == node and based_on is None:
            continue
        version = history.state.get_version(team)
        publication = build_publication(
            team,
            node,
            version if based_on is None else based_on,
        )
        reports.append(
            await publish_team(log, publication, timeout_s, history.state.era),
        )
    return reports


async def _read_statuses(
    instances: tuple[str, ...],
) -> dict[str, Status | None]:
    outbound = CurlOutbound()
    reads = [_read_status(outbound, url) for url in instances]
    return dict(zip(instances, await asyncio.gather(*reads), strict=True))


async def _read_status(outbound: Outbound, url: str) -> Status | None:
    call = Call(url=f'{url}/status', timeout_s=_STATUS_TIMEOUT_S)
    try:
        reply = await outbound.fetch(call)
        return decode_json(reply.body, Status)
    except AnvilhallError:
        return None


def _run_with_log(
    log_url: str,
    work: Callable[[LogClient], Coroutine[Any, Any, _Returned]],
) -> _Returned:
    async def run() -> _Returned:  # noqa: WPS430
        return await work(HttpLogClient(log_url, CurlOutbound()))

    try:
        return _run_async(run())
    except SettingsFaulty as error:
        _print_faults(error.faults, as_json=False)
        sys.exit(EXIT_FAULTS)
    except PlatformError as error:
        click.echo(
            f'the log service at {log_url} does not answer: {error.reason}; '
            'check --log or ANVILHALL_LOG_URL',
            err=True,
        )
        sys.exit(EXIT_UNREACHABLE)


def _run_async(work: Coroutine[Any, Any, _Returned]) -> _Returned:
    return asyncio.run(work)


def _read_file(path: pathlib.Path) -> JsonObject:
    try:
        raw: object = decode_json(path.read_bytes(), object)
    except MalformedData as error:
        _print_faults([Fault(path=str(path), reason=error.reason)], False)
        sys.exit(EXIT_FAULTS)
    if not isinstance(raw, dict):
        reason = 'expected a JSON object of team settings by team path'
        _print_faults([Fault(path=str(path), reason=reason)], False)
        sys.exit(EXIT_FAULTS)
    return raw


def _select_team(raw: JsonObject, only_team: str | None) -> JsonObject:
    if only_team is None:
        return raw
    if only_team not in raw:
        known = ', '.join(sorted(raw))
        raise click.UsageError(
            f'no team {only_team!r} in the file; its teams: {known}',
        )
    return {only_team: raw[only_team]}


def _list_fields(entry: msgspec.Struct) -> JsonObject:
    fields: JsonObject = {}
    for name, field in msgspec.structs.asdict(entry).items():
        if isinstance(field, msgspec.Struct):
            fields[name] = _list_fields(field)
        else:
            fields[name] = field
    return fields


def _have_version(statuses: dict[str, Status | None], version: int) -> bool:
    return all(
        status is not None and status.settings_version >= version
        for status in statuses.values()
    )


def _print_faults(faults: list[Fault], as_json: bool) -> None:
    if as_json:
        click.echo(format_json({'faults': msgspec.to_builtins(faults)}))
        return
    for fault in faults:
        click.echo(f'{fault.path}: {fault.reason}', err=True)


def _print_reports(reports: list[PublishReport], as_json: bool) -> None:
    if as_json:
        click.echo(format_json(msgspec.to_builtins(reports)))
        return
    if not reports:
        click.echo('nothing to publish: no difference from what is in force')
    for report in reports:
        line = f'{report.team or "(root)"}: {report.outcome.value}'
        if report.verdict and not report.reason:
            line = f'{line}, version {report.verdict.version}'
        if report.reason:
            line = f'{line}: {report.reason}'
        click.echo(line)


def _print_score(score: ReplayScore) -> None:
    click.echo(f'{score.trace} under {score.policy}')
    for name, entry in score.classes.items():
        click.echo(
            f'  {name}: {entry.requests} requests, '
            f'attained {entry.attained_share:.3f}, '
            f'first token p99 {entry.first_token_p99_ms} ms, '
            f'refused {sum(entry.refused.values())}',
        )
    click.echo(
        f'  goodput {score.goodput_tokens_s:.0f} tokens/s, '
        f'wasted {score.wasted_share:.4f}, '
        f'longest wait of the lowest tier {score.longest_lowest_wait_s:.1f} s',
    )


def _print_statuses(statuses: dict[str, Status | None]) -> None:
    for url, status in statuses.items():
        if status is None:
            click.echo(f'{url}: no answer')
            continue
        state = 'ready' if status.ready else 'not ready'
        owned = ', '.join(summary.pool for summary in status.owned) or '-'
        click.echo(
            f'{status.instance} ({status.failure_domain}): {state}, '
            f'settings {status.settings_version}, '
            f'open {status.open_requests}, owns {owned}, '
            f'sees {", ".join(status.live)}',
        )
        for parts in status.quarantined:
            click.echo(f'  quarantined: prompts with {", ".join(parts)}')
        if status.duty_holder:
            click.echo(
                f'  duties: held by {status.duty_holder}, '
                f'token {status.duty_token}',
            )


if __name__ == '__main__':
    run_command()
