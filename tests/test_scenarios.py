"""Runs every scenario file with each of its seeds through all checkers."""

import pathlib

import pytest

from tests.scenario_language import interpreter

FOLDER = pathlib.Path(__file__).parent / "scenarios"
SCENARIOS = {
    path.stem: interpreter.Scenario(path.read_text(), path.name)
    for path in sorted(FOLDER.glob("*.scenario"))
}
CASES = [(name, seed) for name, found in SCENARIOS.items() for seed in found.seeds]


@pytest.mark.parametrize(("name", "seed"), CASES)
def test_scenario(name, seed):
    """The first line of the file names the failure that it guards against."""
    found, _ = SCENARIOS[name].run(seed)
    assert not found, SCENARIOS[name].guard


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("# No guard\n", "scenario:1"),
        ("# Guards against: x\nseeds 1\ncontrol a\nkil a\n", "scenario:4: can't read"),
        ("# Guards against: x\nseeds 1\n\nexpect luck is 1\n", "scenario:4: no fact"),
    ],
)
def test_a_mistake_is_reported_with_its_line(text, message):
    """Guards against scenarios that are misread silently."""
    with pytest.raises(interpreter.ScenarioError, match=message):
        interpreter.Scenario(text)


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("kill nobody", "scenario:5: nobody is called nobody"),
        ("expect accepted is 2", "scenario:5: accepted is 1, not is 2"),
    ],
)
def test_a_failed_step_is_reported_with_its_line(line, message):
    """Guards against expectations that are passed over."""
    text = f"# Guards against: x\nseeds 1\ncontrol a\nentries e1\n{line}\n"
    try:
        found = interpreter.Scenario(text).run(1)[0]
    except interpreter.ScenarioError as exc:
        found = [str(exc)]
    assert found[0].startswith(message)
