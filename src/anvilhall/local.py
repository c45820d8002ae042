"""Settings of one process: who it is and where everything is.

They are read from a JSON file at start and never change.
"""

import pathlib

import msgspec

from anvilhall import defaults
from anvilhall.core.policies import DEFAULT_POLICY
from anvilhall.core.settings import Fault, SettingsFaulty


class _Strict(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base of all local settings."""


class Listen(_Strict, frozen=True, kw_only=True):
    """Addresses to listen on, each a host by IP number and a port."""

    #: Callers' HTTP interface.
    callers: str
    #: Links between instances.
    peers: str
    #: Health, metrics and status.
    operators: str


class Platform(_Strict, frozen=True, kw_only=True):
    """Where the platform's services are."""

    log_url: str
    membership_url: str
    #: Names of the adapters.
    log_client: str = 'http'
    membership_client: str = 'http'


class Tls(_Strict, frozen=True, kw_only=True):
    """Certificate files for links between instances, in PEM."""

    certificate: str
    private_key: str
    #: Certificates of the authority that signed the peers' certificates.
    authority: str


class Timings(_Strict, frozen=True, kw_only=True):
    """Periods of the process's own work, in seconds."""

    membership_interval_s: float = defaults.MEMBERSHIP_INTERVAL_S
    log_poll_s: float = defaults.LOG_POLL_S
    heartbeat_interval_s: float = defaults.HEARTBEAT_INTERVAL_S
    suspect_after_s: float = defaults.SUSPECT_AFTER_S
    remove_after_s: float = defaults.REMOVE_AFTER_S
    claim_timeout_s: float = defaults.CLAIM_TIMEOUT_S
    drain_timeout_s: float = defaults.DRAIN_TIMEOUT_S
    snapshot_interval_s: float = defaults.SNAPSHOT_INTERVAL_S
    #: Time for an owner's first answer before this instance decides for
    #: itself; ``None``: until the owner is known to be gone.
    owner_answer_s: float | None = None
    #: Time that a new owner waits for reports of what is running.
    settling_s: float = defaults.SETTLING_S


class RelayConfig(_Strict, frozen=True, kw_only=True):
    """The relay of requests by route, on the users' platform."""

    #: Host and port of the platform's store.
    store: str
    #: Retries per first attempt that all instances together may cause.
    retry_share: float = defaults.RETRY_BUDGET_SHARE
    #: Retries of all instances together beyond that share, over a window.
    retry_slack: float = defaults.RETRY_BUDGET_MIN
    #: Seconds from SIGTERM for which new requests are served.
    linger_s: float = 2.3
    #: Seconds after that for which requests in flight are waited for.
    drain_s: float = 5.1


class LocalConfig(_Strict, frozen=True, kw_only=True):
    """Settings of one process."""

    #: Name of this instance, unique among all.
    instance: str
    failure_domain: str
    region: str = ''
    listen: Listen
    #: Services that settings and membership come from, unless the relay is
    #: configured.
    platform: Platform | None = None
    relay: RelayConfig | None = None
    #: Processor of the machine: share of a core, and its speed.
    cpu_share: float = 0.0
    cpu_speed: float = 1.0
    #: Shared secret of all instances.
    peer_key: str
    tls: Tls | None = None
    timings: Timings = Timings()
    #: Name of the policy by which owned shards are run.
    policy: str = DEFAULT_POLICY

    @property
    def capacity(self) -> float:
        """Processor share of the machine, in cores; 0: unknown."""
        return self.cpu_share * self.cpu_speed

    def list_addresses(self) -> tuple[str, ...]:
        """Return all addresses of the settings, each a host and a port."""
        listen = self.listen
        addresses = (listen.callers, listen.peers, listen.operators)
        return (*addresses, self.relay.store) if self.relay else addresses

    @classmethod
    def from_file(cls, path: pathlib.Path) -> 'LocalConfig':
        """Read and check a file.

        :raises SettingsFaulty: with the place of the first fault.
        """
        try:
            config = msgspec.json.decode(path.read_bytes(), type=cls)
        except OSError as error:
            raise _report(path, str(error)) from error
        except msgspec.DecodeError as error:
            raise _report(path, str(error)) from error
        if config.platform is None and config.relay is None:
            raise _report(path, 'neither `platform` nor `relay` is given')
        return config


def split_address(address: str) -> tuple[str, int]:
    """Split a host and a port.

    :raises SettingsFaulty: if the address has no port.
    """
    host, colon, port = address.rpartition(':')
    if not colon or not port.isdigit():
        fault = Fault(path=address, reason='not of the form HOST:PORT')
        raise SettingsFaulty([fault])
    return host, int(port)


def _report(path: pathlib.Path, reason: str) -> SettingsFaulty:
    return SettingsFaulty([Fault(path=str(path), reason=reason)])
