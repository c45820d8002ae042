"""Messages between instances of different builds."""

import cbor2
import msgspec

from anvilhall.core.members import Member
from anvilhall.core.messages import (
    Ask,
    Grant,
    RunnerNews,
    decode_message,
    encode_message,
)

ASK = Ask(
    pool='desk',
    request_id='q1',
    class_name='chat',
    account='acme',
    prompt_tokens=1,
    max_tokens=1,
    deadline_s=1.0,
    version='v1',
)
GRANT = Grant('desk', 'q1', 'r1', 'a:1', 0, 'v1', 7)


def _cut(message, count):
    """Return the frame of an older build, without the last fields."""
    return cbor2.dumps(cbor2.loads(encode_message(message))[:-count])


def test_versions_are_sent_with_asks_and_grants():
    for message in (ASK, GRANT):
        assert decode_message(encode_message(message)) == message


# Guards against links between two builds that end at their first message.
def test_messages_of_an_older_build_name_no_version():
    assert decode_message(_cut(ASK, 1)).version is None
    grant = decode_message(_cut(GRANT, 2))
    assert (grant.version, grant.born) == ('', 0)
    old = msgspec.to_builtins(RunnerNews(1, Member('r1', 'a:1', 'd1', 'desk')))
    old[2].pop('version')
    assert not decode_message(cbor2.dumps(old)).runner.version


def test_fields_of_a_newer_build_are_passed_over():
    for message in (ASK, GRANT):
        longer = [*cbor2.loads(encode_message(message)), 'later']
        assert decode_message(cbor2.dumps(longer)) == message
