"""Tests of the startup of the platform programs."""

import importlib
import signal
import types

import pytest

from mustardhold.platform.__main__ import EXIT_USAGE, main


@pytest.fixture
def restored_signals():
    before = signal.getsignal(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, before)


@pytest.mark.parametrize(
    ('program', 'stages'),
    [('balancer', ['balancer']), ('control', ['early_control', 'control'])],
)
def test_reload_during_the_imports_is_ignored(
    monkeypatch, restored_signals, program, stages
):
    imported = []

    def import_during_reload(name):
        signal.raise_signal(signal.SIGHUP)
        imported.append(name)
        return types.SimpleNamespace(start=lambda: None, run=lambda *_: 0)

    monkeypatch.setattr(importlib, 'import_module', import_during_reload)
    assert main([program]) == 0
    assert imported == [f'mustardhold.platform.{stage}' for stage in stages]


@pytest.mark.parametrize(
    'arguments', [[], ['elephant'], ['balancer', 'control']], ids=str
)
def test_missing_unknown_or_extra_program_is_refused(capsys, arguments):
    assert main(arguments) == EXIT_USAGE
    assert 'balancer, control' in capsys.readouterr().err


@pytest.mark.parametrize(
    ('arguments', 'expected'),
    [
        (['balancer', '--opening-hedge-share', '0.25'], 0.25),
        (['balancer', '--opening-hedge-share=0'], 0),
        (['balancer'], 1),
    ],
    ids=str,
)
def test_share_of_hedged_openings_reaches_the_balancer(
    monkeypatch, restored_signals, arguments, expected
):
    shares = []
    module = types.SimpleNamespace(run=lambda share: shares.append(share) or 0)
    monkeypatch.setattr(importlib, 'import_module', lambda _: module)
    assert main(arguments) == 0
    assert shares == [expected]


@pytest.mark.parametrize(
    'arguments',
    [
        'balancer --opening-hedge-share',
        'balancer --opening-hedge-share 1.01',
        'balancer --opening-hedge-share -0.1',
        'balancer --opening-hedge-share nan',
        'balancer --opening-hedge-share half',
        'balancer --opening-hedge-share 0.5 0.5',
        'balancer --hedge 0.5',
        'control --opening-hedge-share 0.5',
    ],
)
def test_wrong_share_of_hedged_openings_is_refused(capsys, arguments):
    assert main(arguments.split()) == EXIT_USAGE
    assert '--opening-hedge-share' in capsys.readouterr().err


@pytest.mark.parametrize('program', ['balancer', 'control'])
def test_programs_can_be_run(program):
    module = importlib.import_module(f'mustardhold.platform.{program}')
    assert callable(module.run)
