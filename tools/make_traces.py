"""Makes the recorded traces under examples, each from its own seed."""

import json
import pathlib
import random
from collections.abc import Callable
from typing import Any

SEED = 20260330
#: Seconds of each trace.
LENGTH_S = 60.0

Line = dict[str, Any]


class Maker:
    """Draws the lines of one trace."""

    __slots__ = ('_count', 'chance', 'lines')

    def __init__(self, name: str) -> None:
        """Seed the chance by the trace's name."""
        self.chance = random.Random(f'{SEED}-{name}')
        self.lines: list[Line] = []
        self._count = 0

    def arrive(
        self,
        rate: Callable[[float], float],
        build: Callable[[], Line],
        length_s: float = LENGTH_S,
    ) -> None:
        """Add Poisson arrivals at a rate that depends on time."""
        top = max(rate(second / 4) for second in range(int(length_s * 4)))
        at_s = 0.0
        while top > 0:
            at_s += self.chance.expovariate(top)
            if at_s >= length_s:
                return
            if self.chance.random() * top < rate(at_s):
                self.add(at_s, build())

    def add(self, at_s: float, fields: Line) -> None:
        """Add one request."""
        self._count += 1
        line = {'at_s': round(at_s, 4), 'id': f'q{self._count}', **fields}
        self.lines.append(line)

    def draw_tokens(self, mean: float, most: int) -> int:
        """Draw a length with a long tail."""
        drawn = self.chance.lognormvariate(0, 0.6) * mean / 1.2
        return max(1, min(most, int(drawn)))


class Deployment:
    """Names, sizes and rates of one deployment."""

    def __init__(self, fields: Line) -> None:
        """Take the fields of a deployment."""
        self.fields = fields

    def build_header(self, name: str, start: str) -> Line:
        """Return the first line of a trace."""
        fields = self.fields
        return {
            'trace': 1,
            'name': f'{fields["name"]}-{name}',
            'start': start,
            'timezone': fields['timezone'],
            'failure_domains': fields['domains'],
            'entry_instances': 9,
            'report_lag_s': 2.0,
            'pools': [
                {
                    'name': fields['chat'],
                    'kind': 'engine',
                    'runners': fields['runners'],
                    'slots': 16,
                    'prefill_tokens_s': 6000,
                    'step_base_ms': 20,
                    'step_per_stream_ms': 1.0,
                    'cache_tokens': 200000,
                },
                {
                    'name': fields['desk'],
                    'kind': 'service',
                    'runners': 3,
                    'slots': 32,
                },
            ],
        }

    def draw_short(self, maker: Maker) -> Line:
        """Return a request of the short class of tier 0."""
        return self._chat(maker, 'short', 120, 180, 120, 90)

    def draw_draft(self, maker: Maker) -> Line:
        """Return a request of the middle class."""
        return self._chat(maker, 'draft', 200, 700, 0, 220)

    def draw_low(self, maker: Maker) -> Line:
        """Return a request of the lowest class."""
        line = self._chat(maker, 'low', 200, 500, 0, 200)
        line['account'] = self.fields['low_account']
        return line

    def draw_long(self, maker: Maker) -> Line:
        """Return a dossier or booking sheet."""
        line = self._chat(maker, 'long', 200, 0, 0, 500)
        low, high = self.fields['long_prompt']
        line['prompt_tokens'] = maker.chance.randint(low, high)
        return line

    def draw_call(self, maker: Maker) -> Line:
        """Return a call of the plain service."""
        name, keyed = maker.chance.choice(self.fields['calls'])
        line = {
            'class': name,
            'account': self._draw_account(maker),
            'pool': self.fields['desk'],
            'work_ms': round(maker.chance.uniform(5, 40), 1),
        }
        if keyed:
            line['key'] = f'{name}-{maker.chance.getrandbits(40):x}'
        return line

    def _chat(
        self,
        maker: Maker,
        kind: str,
        shared: int,
        prompt: int,
        prefix: int,
        output: int,
    ) -> Line:
        own = maker.draw_tokens(max(prompt, 1), 3000)
        line: Line = {
            'class': self.fields[kind],
            'account': self._draw_account(maker),
            'pool': self.fields['chat'],
            'prompt_tokens': own + prefix,
            'output_tokens': maker.draw_tokens(output, 2000),
        }
        if prefix:
            line['prefix'] = f'{self.fields[kind]}-v3'
            line['prefix_tokens'] = prefix
        return line

    def _draw_account(self, maker: Maker) -> str:
        return str(maker.chance.choice(self.fields['accounts']))


TSVETKOV = Deployment(
    {
        'name': 'tsvetkov',
        'timezone': 'Europe/Sofia',
        'domains': ['plovdiv-1', 'plovdiv-2', 'plovdiv-3'],
        'chat': 'fitting-assist',
        'desk': 'shop-ledger',
        'runners': 6,
        'short': 'bench-question',
        'draft': 'quote-draft',
        'low': 'refit-enquiry',
        'long': 'fitting-instruction',
        'long_prompt': (8000, 60000),
        'calls': [
            ('seat-order', True),
            ('invoice', True),
            ('stock-lookup', False),
        ],
        'accounts': ['bay-1', 'bay-2', 'quoting-clerk'],
        'low_account': 'portal',
    },
)
ASSOCIATION = Deployment(
    {
        'name': 'association',
        'timezone': 'America/Chicago',
        'domains': ['texas-1', 'texas-2', 'texas-3'],
        'chat': 'dispatch-assistant',
        'desk': 'booking-desk',
        'runners': 9,
        'short': 'quick-reply',
        'draft': 'bulk-summary',
        'low': 'bulk-summary',
        'long': 'conflict-check',
        'long_prompt': (6000, 40000),
        'calls': [
            ('seat-hold', True),
            ('seat-confirm', True),
            ('booking-lookup', False),
        ],
        'accounts': ['dispatcher-austin', 'dispatcher-waco', 'back-office'],
        'low_account': 'back-office',
    },
)


def add_base(maker: Maker, site: Deployment, factor: float = 1.0) -> None:
    """Add an ordinary morning without long work."""
    scale = site.fields['runners'] / 6 * factor
    maker.arrive(lambda _: 5 * scale, lambda: site.draw_short(maker))
    maker.arrive(lambda _: scale, lambda: site.draw_draft(maker))
    maker.arrive(lambda _: 0.6 * scale, lambda: site.draw_low(maker))
    maker.arrive(lambda _: 3 * scale, lambda: site.draw_call(maker))


def make_ordinary(maker: Maker, site: Deployment) -> None:
    """An ordinary morning."""
    add_base(maker, site)


def make_long(maker: Maker, site: Deployment) -> None:
    """The ordinary morning with dossiers or booking sheets."""
    add_base(maker, site)
    scale = site.fields['runners'] / 6
    maker.arrive(lambda _: 0.25 * scale, lambda: site.draw_long(maker))


def make_crest(maker: Maker, site: Deployment) -> None:
    """A swing to twice the capacity within 5 s, from the lowest class."""
    add_base(maker, site)
    scale = site.fields['runners'] / 6

    def swing(at_s: float) -> float:
        rise = min(1.0, max(0.0, (at_s - 20) / 5))
        return 22 * scale * rise if at_s < 45 else 0.0

    maker.arrive(swing, lambda: site.draw_low(maker))


def make_stragglers(maker: Maker, site: Deployment) -> None:
    """A third of the runners slowed 5 times by turns."""
    add_base(maker, site)
    runners = site.fields['runners']
    for turn, at_s in enumerate((10, 25, 40)):
        for place in range(runners // 3):
            number = (turn * (runners // 3) + place) % runners
            maker.lines.append(
                {
                    'at_s': float(at_s),
                    'event': 'slow',
                    'runner': f'{site.fields["chat"]}-{number}',
                    'factor': 5.0,
                    'for_s': 12.0,
                },
            )


def make_crash(maker: Maker, site: Deployment) -> None:
    """Two runners crash in mid-stream."""
    add_base(maker, site)
    for at_s, number in ((15, 0), (35, 1)):
        maker.lines.append(
            {
                'at_s': float(at_s),
                'event': 'crash',
                'runner': f'{site.fields["chat"]}-{number}',
                'for_s': 10.0,
            },
        )


def make_flood(maker: Maker, site: Deployment) -> None:
    """One account floods the short class."""
    add_base(maker, site)
    flooder = site.fields['accounts'][1]
    scale = site.fields['runners'] / 6

    def draw() -> Line:
        return {**site.draw_short(maker), 'account': flooder}

    maker.arrive(lambda at_s: 40 * scale if 15 < at_s < 45 else 0.0, draw)


KINDS = {
    'ordinary': make_ordinary,
    'long': make_long,
    'crest': make_crest,
    'stragglers': make_stragglers,
    'crash': make_crash,
    'flood': make_flood,
}


def write_trace(site: Deployment, kind: str, folder: pathlib.Path) -> None:
    """Write one trace."""
    # Traces of one deployment share the seed, and so the ordinary morning.
    maker = Maker(site.fields['name'])
    KINDS[kind](maker, site)
    header = site.build_header(kind, '2026-03-30T09:30:00+03:00')
    lines = sorted(maker.lines, key=lambda line: line['at_s'])
    text = '\n'.join(json.dumps(line) for line in (header, *lines))
    (folder / f'{kind}.jsonl').write_text(f'{text}\n')


if __name__ == '__main__':
    for deployment in (TSVETKOV, ASSOCIATION):
        target = pathlib.Path('examples', deployment.fields['name'], 'traces')
        target.mkdir(exist_ok=True)
        for trace_kind in KINDS:
            write_trace(deployment, trace_kind, target)
