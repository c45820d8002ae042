"""Admission control by the limits of client accounts and classes."""

import collections

from anvilhall.core.estimates import OutputLengths
from anvilhall.core.limits import Meter
from anvilhall.core.messages import Ask, Held, get_request_id
from anvilhall.core.settings import Account, ClassSettings, Limits
from anvilhall.core.tree import Tree
from anvilhall.exceptions import AccountLimited, ClassLimited

_UNKNOWN_ACCOUNT = Account(key_sha256=(), limits=Limits())


class Admission:
    """Usage of the accounts and classes that one shard has served."""

    __slots__ = (
        '_accounts',
        '_ask_counts',
        '_by_account',
        '_by_class',
        '_lengths',
    )

    def __init__(self) -> None:
        """Start without settings."""
        self._accounts: dict[str, Account] = {}
        #: Waiting and granted asks of each request. One that moves has two for
        #: a time, but counts as one against the limits.
        self._ask_counts: collections.Counter[str] = collections.Counter()
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

        One that moves has been charged already and only counts as running.
        """
        if ask.moves:
            self._adopt(ask.request_id, ask.account, ask.class_name)
            return
        self._count_ask(ask.request_id)
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

    def adopt(self, held: Held) -> None:
        """Count a running request that a previous owner has charged."""
        self._adopt(held.request_id, held.account, held.class_name)

    def release(self, request_id: str, account: str, class_name: str) -> None:
        """Stop counting a request as running, with the last of its asks."""
        name = get_request_id(request_id)
        self._ask_counts[name] -= 1
        if self._ask_counts[name] > 0:
            return
        self._ask_counts.pop(name)
        self._by_account[account].release()
        self._by_class[class_name].release()

    def _adopt(self, request_id: str, account: str, class_name: str) -> None:
        if self._count_ask(request_id):
            self._by_account.setdefault(account, Meter()).running += 1
            self._by_class.setdefault(class_name, Meter()).running += 1

    def _count_ask(self, request_id: str) -> bool:
        """Count an ask; return whether it is the only one of its request."""
        name = get_request_id(request_id)
        self._ask_counts[name] += 1
        return self._ask_counts[name] == 1

    def _get_account(self, name: str) -> Account:
        return self._accounts.get(name, _UNKNOWN_ACCOUNT)
