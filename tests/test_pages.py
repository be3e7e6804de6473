"""Tests that documentation pages agree with the code that they name."""

import re
from pathlib import Path

from tools import capacity
from tools.registry import proofs_by_name

ROOT = Path(__file__).parent.parent


def test_every_proof_is_listed_and_every_listed_proof_exists():
    page = (ROOT / 'docs' / 'PROOFS.md').read_text(encoding='utf-8')
    rows = [line for line in page.splitlines() if line.startswith('|')]
    named = set(re.findall(r'`([a-z]+(?:-[a-z]+)*)`', '\n'.join(rows)))
    assert named == set(proofs_by_name())


def test_capacity_page_agrees_with_the_measured_slopes():
    assert capacity.main([]) == 0


def test_every_role_and_budget_has_a_capacity_line():
    roles = {line.role for line in capacity.LINES}
    assert {
        'balancer',
        'bucket owner',
        'coordinator',
        'load-report aggregator',
        'relay',
        'control replica',
    } <= roles
    budgets = {line.budget for line in capacity.LINES}
    assert budgets == set(capacity.BUDGETS)
