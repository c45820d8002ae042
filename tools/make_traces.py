"""Generates the traces under examples/SITE/traces.

All traces of one site use the same seed.
"""

import json
import pathlib
import random
from collections.abc import Callable
from typing import Any

SEED = 20260330
#: Duration of each trace in seconds.
DURATION_S = 60.0

Line = dict[str, Any]

#: Slots, speeds and prefix cache of an engine of the first two deployments.
_SMALL_ENGINE: Line = {
    'slots': 16,
    'prefill_tokens_s': 6000,
    'step_base_ms': 20,
    'step_per_stream_ms': 1.0,
    'cache_tokens': 200000,
}


class TraceBuilder:
    """Draws the requests and events of one trace."""

    __slots__ = ('_count', 'lines', 'rng')

    def __init__(self, name: str) -> None:
        """Create an empty trace; the name determines the random numbers."""
        self.rng = random.Random(f'{SEED}-{name}')
        self.lines: list[Line] = []
        self._count = 0

    def add_arrivals(
        self,
        rate: Callable[[float], float],
        build: Callable[[], Line],
        duration_s: float = DURATION_S,
    ) -> None:
        """Add Poisson arrivals with a time-dependent rate.

        The arrivals are drawn at the peak rate and thinned to the current one.

        :param rate: requests per second at a time in seconds.
        :param build: draws the fields of one request.
        """
        peak_rate = max(
            rate(second / 4) for second in range(int(duration_s * 4))
        )
        at_s = 0.0
        while peak_rate > 0:
            at_s += self.rng.expovariate(peak_rate)
            if at_s >= duration_s:
                return
            if self.rng.random() * peak_rate < rate(at_s):
                self.add(at_s, build())

    def add(self, at_s: float, fields: Line) -> None:
        """Add one request with the next identifier."""
        self._count += 1
        line = {'at_s': round(at_s, 4), 'id': f'q{self._count}', **fields}
        self.lines.append(line)

    def draw_tokens(self, mean: float, maximum: int) -> int:
        """Draw a length in tokens from a log-normal distribution."""
        drawn = self.rng.lognormvariate(0, 0.6) * mean / 1.2
        return max(1, min(maximum, int(drawn)))


class Deployment:
    """Names and sizes of one deployment."""

    def __init__(self, fields: Line) -> None:
        """Create a deployment from its fields."""
        self.fields = fields

    def build_header(self, name: str, start: str) -> Line:
        """Build the header, which is the first line of a trace."""
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
                    **fields.get('engine', _SMALL_ENGINE),
                },
                {
                    'name': fields['desk'],
                    'kind': 'service',
                    'runners': 3,
                    'slots': 32,
                },
            ],
        }

    def draw_short(self, builder: TraceBuilder) -> Line:
        """Draw a request of the short class, which has tier 0."""
        return self._chat(builder, 'short', 120, 180, 120, 90)

    def draw_draft(self, builder: TraceBuilder) -> Line:
        """Draw a request of the middle class."""
        return self._chat(builder, 'draft', 200, 700, 0, 220)

    def draw_low(self, builder: TraceBuilder) -> Line:
        """Draw a request of the lowest class."""
        line = self._chat(builder, 'low', 200, 500, 0, 200)
        line['account'] = self.fields['low_account']
        return line

    def draw_long(self, builder: TraceBuilder) -> Line:
        """Draw a request with a long document as its prompt."""
        line = self._chat(builder, 'long', 200, 0, 0, 500)
        low, high = self.fields['long_prompt']
        line['prompt_tokens'] = builder.rng.randint(low, high)
        return line

    def draw_call(self, builder: TraceBuilder) -> Line:
        """Draw a call of the plain service."""
        name, has_key = builder.rng.choice(self.fields['calls'])
        line = {
            'class': name,
            'account': self._draw_account(builder),
            'pool': self.fields['desk'],
            'work_ms': round(builder.rng.uniform(5, 40), 1),
        }
        if has_key:
            line['key'] = f'{name}-{builder.rng.getrandbits(40):x}'
        return line

    def _chat(
        self,
        builder: TraceBuilder,
        kind: str,
        shared: int,
        prompt: int,
        prefix: int,
        output: int,
    ) -> Line:
        own = builder.draw_tokens(max(prompt, 1), 3000)
        line: Line = {
            'class': self.fields[kind],
            'account': self._draw_account(builder),
            'pool': self.fields['chat'],
            'prompt_tokens': own + prefix,
            'output_tokens': builder.draw_tokens(output, 2000),
        }
        if prefix:
            line['prefix'] = f'{self.fields[kind]}-v3'
            line['prefix_tokens'] = prefix
        return line

    def _draw_account(self, builder: TraceBuilder) -> str:
        return str(builder.rng.choice(self.fields['accounts']))


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


#: Streams of Bayou Runner: requests a second, number of shared prefixes, mean
#: tokens of a shared prefix, of the own part of the prompt and of the answer.
_STREAMS = {
    'handbook-review': (4.74, 50, 13300, 3720, 120),
    'damage-report': (2.08, 33, 6300, 2890, 51),
    'window-question': (5.9, 142, 350, 1110, 171),
}
_LONGEST_PROMPT = 40_000
#: Factor on the rate of a class during its burst.
_BURST = 1.8
BAYOU_RUNNER = Deployment(
    {
        'name': 'bayou-runner',
        'timezone': 'America/Chicago',
        'domains': ['gulf-south-a', 'gulf-south-b', 'gulf-south-c'],
        'chat': 'hut-assistant',
        'desk': 'hire-desk',
        'runners': 5,
        'engine': {
            'slots': 64,
            'prefill_tokens_s': 50700,
            'step_base_ms': 5.95,
            'step_per_stream_ms': 0.0445,
            'cache_tokens': 332000,
        },
        'calls': [('deposit-charge', True), ('stock-lookup', False)],
        'accounts': ['hut-dunes', 'hut-hills', 'hut-ice'],
    },
)


def draw_stream(builder: TraceBuilder, site: Deployment, name: str) -> Line:
    """Draw a request of a class of :data:`_STREAMS`."""
    _, prefixes, shared, own, output = _STREAMS[name]
    number = int(prefixes * builder.rng.random() ** 1.4)
    # The length of a prefix depends on its number only.
    spread = random.Random(f'{name}-{number}').lognormvariate(0, 0.5)
    prefix_tokens = min(_LONGEST_PROMPT, int(shared * spread / 1.13))
    own_tokens = builder.draw_tokens(own, _LONGEST_PROMPT)
    return {
        'class': name,
        'account': builder.rng.choice(site.fields['accounts']),
        'pool': site.fields['chat'],
        'prompt_tokens': prefix_tokens + own_tokens,
        'prefix': f'{name}-{number}',
        'prefix_tokens': prefix_tokens,
        'output_tokens': builder.draw_tokens(output, 2000),
    }


def make_weekend(builder: TraceBuilder, site: Deployment) -> None:
    """Add all classes; bookings, then questions come at 1.8 times the rate."""
    bursts = {'handbook-review': (15, 24), 'window-question': (35, 40)}
    for name, (rate, *_) in _STREAMS.items():
        start_s, end_s = bursts.get(name, (0, 0))

        def draw_rate(
            at_s: float,
            rate: float = rate,
            start_s: float = start_s,
            end_s: float = end_s,
        ) -> float:
            in_burst = start_s < at_s < end_s
            return rate * _BURST if in_burst else rate

        def draw_request(name: str = name) -> Line:
            return draw_stream(builder, site, name)

        builder.add_arrivals(draw_rate, draw_request)
    builder.add_arrivals(lambda _: 6.0, lambda: site.draw_call(builder))


def make_weekend_crash(builder: TraceBuilder, site: Deployment) -> None:
    """Add the weekend's load and crash an engine during each burst."""
    make_weekend(builder, site)
    for at_s, number in ((18.0, 0), (37.0, 1)):
        builder.lines.append(
            {
                'at_s': at_s,
                'event': 'crash',
                'runner': f'{site.fields["chat"]}-{number}',
                'for_s': 6.0,
            },
        )


def add_base(
    builder: TraceBuilder, site: Deployment, factor: float = 1.0
) -> None:
    """Add the ordinary load, which has no long prompts.

    :param factor: scale of all rates.
    """
    scale = site.fields['runners'] / 6 * factor
    builder.add_arrivals(lambda _: 5 * scale, lambda: site.draw_short(builder))
    builder.add_arrivals(lambda _: scale, lambda: site.draw_draft(builder))
    builder.add_arrivals(lambda _: 0.6 * scale, lambda: site.draw_low(builder))
    builder.add_arrivals(lambda _: 3 * scale, lambda: site.draw_call(builder))


def make_ordinary(builder: TraceBuilder, site: Deployment) -> None:
    """Add the ordinary load only."""
    add_base(builder, site)


def make_long(builder: TraceBuilder, site: Deployment) -> None:
    """Add the ordinary load and requests with long prompts."""
    add_base(builder, site)
    scale = site.fields['runners'] / 6
    builder.add_arrivals(
        lambda _: 0.25 * scale, lambda: site.draw_long(builder)
    )


def make_crest(builder: TraceBuilder, site: Deployment) -> None:
    """Add a burst of the lowest class: twice the capacity within 5 s."""
    add_base(builder, site)
    scale = site.fields['runners'] / 6

    def burst(at_s: float) -> float:
        rise = min(1.0, max(0.0, (at_s - 20) / 5))
        return 22 * scale * rise if at_s < 45 else 0.0

    builder.add_arrivals(burst, lambda: site.draw_low(builder))


def make_stragglers(builder: TraceBuilder, site: Deployment) -> None:
    """Slow each third of the runners in turn by a factor of 5."""
    add_base(builder, site)
    runners = site.fields['runners']
    for turn, at_s in enumerate((10, 25, 40)):
        for index in range(runners // 3):
            number = (turn * (runners // 3) + index) % runners
            builder.lines.append(
                {
                    'at_s': float(at_s),
                    'event': 'slow',
                    'runner': f'{site.fields["chat"]}-{number}',
                    'factor': 5.0,
                    'for_s': 12.0,
                },
            )


def make_crash(builder: TraceBuilder, site: Deployment) -> None:
    """Crash two runners while they stream."""
    add_base(builder, site)
    for at_s, number in ((15, 0), (35, 1)):
        builder.lines.append(
            {
                'at_s': float(at_s),
                'event': 'crash',
                'runner': f'{site.fields["chat"]}-{number}',
                'for_s': 10.0,
            },
        )


def make_flood(builder: TraceBuilder, site: Deployment) -> None:
    """Add a flood of short requests from one account."""
    add_base(builder, site)
    flooder = site.fields['accounts'][1]
    scale = site.fields['runners'] / 6

    def draw_request() -> Line:
        return {**site.draw_short(builder), 'account': flooder}

    builder.add_arrivals(
        lambda at_s: 40 * scale if 15 < at_s < 45 else 0.0, draw_request
    )


KINDS = {
    'ordinary': make_ordinary,
    'long': make_long,
    'crest': make_crest,
    'stragglers': make_stragglers,
    'crash': make_crash,
    'flood': make_flood,
}
BAYOU_RUNNER_KINDS = {
    'weekend': make_weekend,
    'weekend-crash': make_weekend_crash,
}


def write_trace(
    site: Deployment,
    kind: str,
    make: Callable[[TraceBuilder, Deployment], None],
    folder: pathlib.Path,
) -> None:
    """Write one trace."""
    # Traces of one deployment share the seed and therefore the ordinary load.
    builder = TraceBuilder(site.fields['name'])
    make(builder, site)
    header = site.build_header(kind, '2026-03-30T09:30:00+03:00')
    lines = sorted(builder.lines, key=lambda line: line['at_s'])
    text = '\n'.join(json.dumps(line) for line in (header, *lines))
    (folder / f'{kind}.jsonl').write_text(f'{text}\n')


if __name__ == '__main__':
    for deployment, kinds in (
        (TSVETKOV, KINDS),
        (ASSOCIATION, KINDS),
        (BAYOU_RUNNER, BAYOU_RUNNER_KINDS),
    ):
        target = pathlib.Path('examples', deployment.fields['name'], 'traces')
        target.mkdir(parents=True, exist_ok=True)
        for trace_kind, make_kind in kinds.items():
            write_trace(deployment, trace_kind, make_kind, target)
