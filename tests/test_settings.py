"""Settings files: each error is a finding with its location, no traceback."""

from pathlib import Path

import pytest
import yaml
from hypothesis import example, given, seed, settings, strategies

from mustardhold.adapters.settings import SettingsFile, load_file
from mustardhold.cli import main
from mustardhold.commands.check import check_files
from mustardhold.tables.options import BalancerOptions, ControlOptions
from mustardhold.tables.outcomes import Err, Ok

DATA = Path(__file__).parent / 'data' / 'settings'
FILES = sorted(DATA.glob('*.yaml'))
FLEETS = sorted((DATA / 'fleets').iterdir())
VALID_SETTINGS = (DATA / 'sound-balancer.yaml').read_text()


def shown(findings, folder):
    return [str(found).replace(f'{folder}/', '') for found in findings]


def expected(path):
    return path.read_text().splitlines()


@pytest.mark.parametrize('path', FILES, ids=lambda path: path.stem)
def test_findings_of_a_file(path):
    found = shown(check_files([path]), DATA)
    assert found == expected(path.with_suffix('.findings'))


@pytest.mark.parametrize('folder', FLEETS, ids=lambda path: path.name)
def test_findings_of_all_files_of_a_fleet(folder):
    found = shown(check_files(sorted(folder.glob('*.yaml'))), folder)
    assert found == expected(folder / 'fleet.findings')


@pytest.mark.parametrize('program', ['balancer', 'control'])
def test_a_program_does_not_start_with_an_invalid_file(program, capsys):
    path = str(DATA / 'every-key.yaml')
    assert main([program, '--settings', path]) == 2
    assert (
        'every-key.yaml:1:14: instance_id: must be' in capsys.readouterr().err
    )


def test_exit_codes_of_check(capsys):
    valid = sorted(map(str, (DATA / 'fleets' / 'sound').glob('*.yaml')))
    assert main(['check', *valid]) == 0
    assert main(['check', str(DATA / 'no-such-file.yaml')]) == 2
    assert 'No such file' in capsys.readouterr().err
    assert main(['check', str(DATA)]) == 2


def check_loads_or_has_findings(raw, path):
    """Check that a file loads or gives findings, each with its line."""
    path.write_bytes(raw)
    for kind in (None, BalancerOptions, ControlOptions):
        loaded = load_file(SettingsFile(path), kind)
        assert isinstance(loaded, Ok | Err)
        if isinstance(loaded, Err):
            assert loaded.error
            assert all(found.line > 0 for found in loaded.error)


YAML_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=12)
    | strategies.sampled_from(['127.0.0.1:1', '0.0.0.0:2', '1s', '9', 'b-1']),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                [
                    *BalancerOptions.__struct_fields__,
                    *ControlOptions.__struct_fields__,
                    'x',
                ]
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=12,
)


@pytest.fixture(scope='module')
def scratch(tmp_path_factory):
    return tmp_path_factory.mktemp('settings') / 'fuzzed.yaml'


@seed(1)
@settings(max_examples=120, database=None, deadline=None)
@given(raw=strategies.binary(max_size=200))
@example(raw=b'{' * 100_000)
@example(raw=b'a: ' * 5_000)
@example(raw=b'data_address: 1.2.3.4:' + b'9' * 5_000)
@example(raw=b'!!int x: !!int y')
def test_any_bytes_load_or_give_findings(raw, scratch):
    check_loads_or_has_findings(raw, scratch)


@seed(1)
@settings(max_examples=120, database=None, deadline=None)
@given(tree=YAML_VALUES)
def test_any_yaml_tree_loads_or_gives_findings(tree, scratch):
    check_loads_or_has_findings(yaml.safe_dump(tree).encode(), scratch)


@seed(1)
@settings(max_examples=120, database=None, deadline=None)
@given(
    at=strategies.integers(0, len(VALID_SETTINGS)),
    drop=strategies.integers(0, 8),
    put=strategies.text('{}[]&*!:-"\n 09a\0é', max_size=6),
)
def test_any_typo_loads_or_gives_findings(at, drop, put, scratch):
    text = f'{VALID_SETTINGS[:at]}{put}{VALID_SETTINGS[at + drop :]}'
    check_loads_or_has_findings(text.encode(), scratch)
