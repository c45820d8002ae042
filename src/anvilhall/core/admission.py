"""Admission control by the limits of client accounts and classes."""

from anvilhall.core.estimates import OutputLengths
from anvilhall.core.limits import Meter
from anvilhall.core.messages import Ask
from anvilhall.core.settings import Account, ClassSettings, Limits
from anvilhall.core.tree import Tree
from anvilhall.exceptions import AccountLimited, ClassLimited

_UNKNOWN_ACCOUNT = Account(key_sha256=(), limits=Limits())


class Admission:
    """Usage of the accounts and classes that one shard has served."""

    __slots__ = ('_accounts', '_by_account', '_by_class', '_lengths')

    def __init__(self) -> None:
        """Start without settings."""
        self._accounts: dict[str, Account] = {}
        self._by_account: dict[str, Meter] = {}
        self._by_class: dict[str, Meter] = {}
        self._lengths = OutputLengths()

    def set_tree(self, tree: Tree) -> None:
        """Apply changed settings."""
        self._accounts = {}
        for node in tree.nodes.values():
            self._accounts.update(node.accounts)

    def get_weight(self, account: str) -> float:
        """Return an account's share of its class relative to the others."""
        return self._get_account(account).weight

    def check(self, ask: Ask, settings: ClassSettings, now: float) -> None:
        """Raise if a request would exceed a limit.

        :param settings: settings of the request's class.
        :param now: monotonic seconds.
        :raises AccountLimited: if it would exceed a limit of its account; the
            error states the seconds after which the request may be repeated.
        :raises ClassLimited: likewise for its class.
        """
        tokens = self.estimate_tokens(ask)
        meter = self._by_account.setdefault(ask.account, Meter())
        limits = self._get_account(ask.account).limits
        wait_s = meter.wait_s(limits, tokens, now)
        if wait_s > 0:
            raise AccountLimited(retry_after_s=wait_s)
        class_meter = self._by_class.setdefault(ask.class_name, Meter())
        wait_s = class_meter.wait_s(settings.limits, tokens, now)
        if wait_s > 0:
            raise ClassLimited(retry_after_s=wait_s)

    def admit(self, ask: Ask) -> None:
        """Charge a request that :meth:`check` has let pass.

        One that moves only counts as running once more.
        """
        if ask.moves:
            self._by_account.setdefault(ask.account, Meter()).running += 1
            self._by_class.setdefault(ask.class_name, Meter()).running += 1
            return
        tokens = self.estimate_tokens(ask)
        self._by_account[ask.account].admit(tokens)
        self._by_class[ask.class_name].admit(tokens)

    def estimate_tokens(self, ask: Ask) -> int:
        """Return the expected tokens of a request's prompt and answer."""
        return ask.prompt_tokens + self._lengths.estimate(
            ask.class_name,
            ask.account,
            ask.max_tokens,
        )

    def note_length(self, class_name: str, account: str, tokens: int) -> None:
        """Use the length of a complete answer, in tokens, for estimates."""
        self._lengths.note(class_name, account, tokens)

    def adopt(self, account: str, class_name: str) -> None:
        """Count a running request that a previous owner has charged."""
        self._by_account.setdefault(account, Meter()).admit(0)
        self._by_class.setdefault(class_name, Meter()).admit(0)

    def release(self, account: str, class_name: str) -> None:
        """Stop counting a request as running."""
        self._by_account[account].release()
        self._by_class[class_name].release()

    def _get_account(self, name: str) -> Account:
        return self._accounts.get(name, _UNKNOWN_ACCOUNT)
