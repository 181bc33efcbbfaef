"""Every scenario file, run with each of its seeds and checked by all checkers."""

import pathlib

import pytest

from tests.scenario_language import interpreter

FOLDER = pathlib.Path(__file__).parent / "scenarios"
SCENARIOS = {
    path.stem: interpreter.Scenario(path.read_text(), path.name)
    for path in sorted(FOLDER.glob("*.scenario"))
}
CASES = [
    (name, seed) for name, scenario in SCENARIOS.items() for seed in scenario.seeds
]


@pytest.mark.parametrize(("name", "seed"), CASES)
def test_scenario(name, seed):
    """Guards against the failure that the first line of the file names."""
    problems, _ = SCENARIOS[name].run(seed)
    assert not problems, SCENARIOS[name].guard


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("# No guard\n", "scenario:1"),
        ("# Guards against: x\nseeds 1\ncontrol a\nkil a\n", "scenario:4: can't read"),
        ("# Guards against: x\nseeds 1\n\nexpect luck is 1\n", "scenario:4: no fact"),
    ],
)
def test_a_mistake_is_reported_with_its_line(text, message):
    """Guards against statements that are ignored or misread without an error."""
    with pytest.raises(interpreter.ScenarioError, match=message):
        interpreter.Scenario(text)


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("kill nobody", "scenario:5: no instance or target named nobody"),
        ("expect accepted is 2", "scenario:5: accepted is 1, not is 2"),
    ],
)
def test_a_failed_step_is_reported_with_its_line(line, message):
    """Guards against unmet expectations and unknown names that are ignored."""
    text = f"# Guards against: x\nseeds 1\ncontrol a\nentries e1\n{line}\n"
    try:
        problems = interpreter.Scenario(text).run(1)[0]
    except interpreter.ScenarioError as exc:
        problems = [str(exc)]
    assert problems[0].startswith(message)
