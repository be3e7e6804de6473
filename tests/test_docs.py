"""Checks of the documentation and the example settings against the code."""

from pathlib import Path
from typing import get_args

import pytest

from mustardhold.commands.check import check_files
from mustardhold.tables.packets import Packet
from mustardhold.tables.peers import PeerMessage

ROOT = Path(__file__).parent.parent
DOCS = ROOT / 'docs'
MESSAGES = (*get_args(Packet), *get_args(PeerMessage))


@pytest.mark.parametrize('message', MESSAGES, ids=lambda kind: kind.__name__)
def test_protocol_names_each_message_with_its_tag(message):
    tag = message.__struct_config__.tag
    row = f'| {tag} | `{message.__name__}` |'
    assert row in (DOCS / 'PROTOCOL.md').read_text()


def test_example_settings_are_valid():
    examples = sorted((ROOT / 'examples').glob('*.yaml'))
    assert len(examples) > 2
    assert check_files(examples) == []
