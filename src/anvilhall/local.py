"""Settings of a process: its identity, addresses and timeouts.

They are read once, at start, from a JSON file.
"""

import pathlib
import re
from typing import Annotated

import msgspec

from anvilhall import defaults
from anvilhall.core.policies import DEFAULT_POLICY
from anvilhall.core.settings import Fault, SettingsFaulty
from anvilhall.decoding import decode_json
from anvilhall.exceptions import MalformedData

#: Address ``HOST:PORT``; the host is a name, an IPv4 address or an IPv6 address
#: in brackets.
_ADDRESS = re.compile(
    r'(?P<host>[\w.-]{1,253}|\[[\da-f:.]{2,45}\]):(?P<port>\d{1,5})',
    re.ASCII | re.IGNORECASE,
)
_MAX_PORT = 65535
#: Characters of a malformed address in an error message.
_SHOWN_CHARACTERS = 80

#: Extra sends of a class as a share of its first sends.
_HedgeShare = Annotated[float, msgspec.Meta(ge=0, le=0.2)]
#: Memory that a process may take if nothing states its limit.
_DEFAULT_MEMORY_MB = 128.0


class _Strict(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base of all settings of a process; refuses unknown fields."""


class Listen(_Strict, frozen=True, kw_only=True):
    """Addresses to listen on, each an IP address and a port."""

    #: HTTP interface for callers.
    callers: str
    #: Links between instances.
    peers: str
    #: Health, metrics and status.
    operators: str


class Platform(_Strict, frozen=True, kw_only=True):
    """Services of the platform."""

    log_url: str
    membership_url: str
    #: Registered names of the client implementations.
    log_client: str = 'http'
    membership_client: str = 'http'


class Tls(_Strict, frozen=True, kw_only=True):
    """PEM files for the links between instances."""

    certificate: str
    private_key: str
    #: Certificates of the CA that signed the certificates of the peers.
    authority: str


class Timings(_Strict, frozen=True, kw_only=True):
    """Intervals and timeouts, in seconds."""

    membership_interval_s: float = defaults.MEMBERSHIP_INTERVAL_S
    log_poll_s: float = defaults.LOG_POLL_S
    heartbeat_interval_s: float = defaults.HEARTBEAT_INTERVAL_S
    suspect_after_s: float = defaults.SUSPECT_AFTER_S
    remove_after_s: float = defaults.REMOVE_AFTER_S
    claim_timeout_s: float = defaults.CLAIM_TIMEOUT_S
    drain_timeout_s: float = defaults.DRAIN_TIMEOUT_S
    snapshot_interval_s: float = defaults.SNAPSHOT_INTERVAL_S
    #: Timeout of the first answer of an owner, after which this instance makes
    #: the grant decision itself; ``None``: only when the owner is known to be
    #: gone.
    owner_answer_s: float | None = None
    #: Time for which a new owner waits for reports of running requests.
    settling_s: float = defaults.SETTLING_S


class RelayConfig(_Strict, frozen=True, kw_only=True):
    """Relay of requests by host and path, on the users' platform."""

    #: Address of the metadata store, as ``HOST:PORT``.
    store: str
    #: Retry budget: retries per first attempt.
    retry_share: float = defaults.RETRY_BUDGET_SHARE
    #: Retries per window that are allowed regardless of that share, summed over
    #: all instances.
    retry_slack: float = defaults.RETRY_BUDGET_MIN
    #: Extra sends of late requests for each first send of their route; 0: none.
    hedge_share: _HedgeShare = 0.0
    #: Other shares, by the names of routes.
    hedge_shares: dict[str, _HedgeShare] = {}
    #: Seconds after SIGTERM during which new requests are still accepted.
    linger_s: float = 2.3
    #: Seconds after SIGTERM at which the platform kills the process.
    grace_s: float = 8.0


class DutiesConfig(_Strict, frozen=True, kw_only=True):
    """Duties that one instance at a time performs for all."""

    #: Address of the platform's API, as ``HOST:PORT``.
    api: str
    #: Registered names of the duties.
    names: tuple[str, ...] = ()
    #: Calls a second that the API takes from all instances together.
    calls_per_s: float = 10.0
    #: Length in seconds of the windows for which usage is reported.
    window_s: float = 5.0
    #: Seconds after the end of a window at which its report is due.
    report_due_s: float = 10.0


class LocalConfig(_Strict, frozen=True, kw_only=True):
    """Settings of a process."""

    #: Unique name of this instance.
    instance: str
    failure_domain: str
    region: str = ''
    listen: Listen
    #: Sources of settings and membership; not used if ``relay`` is set.
    platform: Platform | None = None
    relay: RelayConfig | None = None
    #: Used with ``relay`` only; ``None``: no duties.
    duties: DutiesConfig | None = None
    #: Share of the machine's CPU for this process, and its speed in cores.
    cpu_share: float = 0.0
    cpu_speed: float = 1.0
    #: Memory of this process, in megabytes, which bounds the bodies that it
    #: holds.
    memory_mb: Annotated[float, msgspec.Meta(gt=0)] = _DEFAULT_MEMORY_MB
    #: Secret shared by all instances, which authenticates their links.
    peer_key: str
    tls: Tls | None = None
    timings: Timings = Timings()
    #: Registered name of the scheduling policy for owned shards.
    policy: str = DEFAULT_POLICY

    @property
    def capacity(self) -> float:
        """CPU capacity of the machine, in cores; 0: unknown."""
        return self.cpu_share * self.cpu_speed

    def list_addresses(self) -> tuple[str, ...]:
        """Return all addresses in the settings, each as ``HOST:PORT``."""
        listen = self.listen
        addresses = [listen.callers, listen.peers, listen.operators]
        if self.relay:
            addresses.append(self.relay.store)
        if self.duties:
            addresses.append(self.duties.api)
        return tuple(addresses)

    def replace_duties(self, encoded: bytes) -> 'LocalConfig':
        """Return these settings with other duties.

        :param encoded: the section as JSON. Without an ``api``, as in a
            deployment that has none, the settings stay as they are.
        :raises SettingsFaulty: if the section is not valid.
        """
        try:
            section = decode_json(encoded, dict[str, msgspec.Raw])
            if msgspec.json.decode(section.get('api', b'null')) is None:
                return self
            duties = decode_json(encoded, DutiesConfig)
        except MalformedData as error:
            raise _build_error(pathlib.Path('duties'), error.reason) from error
        return msgspec.structs.replace(self, duties=duties)

    @classmethod
    def from_file(cls, path: pathlib.Path) -> 'LocalConfig':
        """Read and validate a settings file.

        :raises SettingsFaulty: if the file can't be read or is not valid.
        """
        try:
            config = decode_json(path.read_bytes(), cls)
        except OSError as error:
            raise _build_error(path, str(error)) from error
        except MalformedData as error:
            raise _build_error(path, error.reason) from error
        if config.platform is None and config.relay is None:
            raise _build_error(path, 'neither `platform` nor `relay` is given')
        return config


def split_address(address: str) -> tuple[str, int]:
    """Split an address ``HOST:PORT``.

    :raises SettingsFaulty: if it does not have that form.
    """
    found = _ADDRESS.fullmatch(address)
    port = int(found['port']) if found else 0
    if not found or not 0 < port <= _MAX_PORT:
        shown = ascii(address[:_SHOWN_CHARACTERS])
        fault = Fault(path=shown, reason='not of the form HOST:PORT')
        raise SettingsFaulty([fault])
    return found['host'], port


def _build_error(path: pathlib.Path, reason: str) -> SettingsFaulty:
    return SettingsFaulty([Fault(path=str(path), reason=reason)])
