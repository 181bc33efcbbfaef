"""Guards against checkers that accept a bad history or reject a good one."""

import dataclasses

import pytest

from tests import checkers

C = checkers


def change(invoked, returned, expected, result, document="d"):
    return C.Operation("change", "s", invoked, returned, expected, document, result)


def read(invoked, returned, revision, document="d"):
    return C.Operation("read", "s", invoked, returned, result=(revision, document))


def answer(name="a", request="k", verdict="", body="k x HTTP/1.1", **fields):
    values = {"reason": "", "status": 200, "is_whole": True, "entry": "e1"}
    values |= {"invoked": 0.0, "returned": 1.0, **fields}
    return C.Answer(name, request, verdict, body=body, **values)


def view_sample(revision, section, at_s=1.0, entry="e1"):
    return C.ViewSample(entry, at_s, revision, {"s": section})


UNANSWERED = change(0, float("inf"), 0, None)
RUN = C.Run("k", "t1", 0.5, "a")
WRITE = C.Write("k", "t1", "e1", 14.0)
EARLIER_SAMPLES = [view_sample(1, 0, 0.0)]

# By name: a checker, its argument from a good history, and arguments from bad ones.
CASES = {
    "two changes of one revision": (
        C.check_register,
        [change(0, 1, 0, 1), change(0, 1, 0, -2)],
        [[change(0, 1, 0, 1), change(0, 1, 0, 1)]],
    ),
    "reads": (
        C.check_register,
        [change(0, 1, 0, 1), read(0.5, 2, 0, ""), read(2, 3, 1)],
        [
            [change(0, 1, 0, 1), read(2, 3, 0, "")],
            [change(0, 1, 0, 1), read(2, 3, 1, "other")],
            [change(0, 5, 0, 1), read(1, 2, 1), read(3, 4, 0, "")],
        ],
    ),
    "changes of unknown outcome": (
        C.check_register,
        [UNANSWERED, read(1, 2, 0, ""), read(3, 4, 1)],
        [[UNANSWERED, read(1, 2, 1), read(3, 4, 0, "")]],
    ),
    "conflicts without reason": (
        C.check_register,
        [change(0, 1, 0, 1), change(2, 3, 0, -2)],
        [[change(0, 1, 0, -1)], [change(0, 1, 0, 1), change(2, 3, 1, -2)]],
    ),
    "resends": (C.check_resends, [("r", 1, 1)], [[("r", 1, 2)], [("r", 1, -2)]]),
    "runs": (
        lambda runs: C.check_at_most_once(runs, {"k"}),
        [RUN, RUN._replace(request="free"), RUN._replace(request="free")],
        [[RUN, RUN._replace(target="t2", at_s=9.0)]],
    ),
    "not run": (
        lambda runs: C.check_not_run([answer(verdict="not_run")], runs),
        [RUN._replace(caller="b")],
        [[RUN], [RUN._replace(at_s=5.0)]],
    ),
    "answers": (
        C.check_answers,
        [answer(), answer(body="k x H", is_whole=False), answer(verdict="not_run")],
        [[answer(body="other x HTTP/1.1")], [answer(body="k x HT")]],
    ),
    "replays": (
        lambda answers: C.check_replays(answers, [RUN]),
        [answer(is_replayed=True)],
        [[answer(request="x", is_replayed=True)]],
    ),
    "stops": (
        lambda answers: C.check_stops(answers, [("e1", 0.5, 9.0)]),
        [
            answer(),
            answer(is_whole=False, entry="e2"),
            answer(is_whole=False, is_cut_by_target=True),
        ],
        [[answer(is_whole=False)], [answer(verdict="not_run", reason="stopping")]],
    ),
    "drains": (
        lambda writes: C.check_drains({"t1": [10.0]}, writes),
        [WRITE._replace(at_s=12.9), WRITE._replace(target="t2")],
        [[WRITE]],
    ),
    "probes": (
        lambda probes: C.check_probes(probes, 0.01),
        [C.Probe("t", 0.0, 0.1), C.Probe("t", 9.9, 0.1), C.Probe("u", 0.0, 0.1)],
        [
            [C.Probe("t", 0.0, 0.11)],
            [C.Probe("t", 0.0, 0.1), C.Probe("t", 0.9, 0.1)],
            [C.Probe("t", 20.0 * n, 0.3) for n in range(3)],
        ],
    ),
    "revisions at an entry": (
        C.check_monotonic,
        [view_sample(1, 1), view_sample(2, 1), view_sample(1, 0, entry="e2")],
        [
            [view_sample(2, 1), view_sample(1, 1)],
            [view_sample(1, 2), view_sample(2, 1)],
        ],
    ),
    "changes in force": (
        lambda samples: C.check_in_force([(5.0, "s", 2)], samples, [], ["e1"]),
        [*EARLIER_SAMPLES, view_sample(3, 2, 8.0)],
        [
            EARLIER_SAMPLES,
            [*EARLIER_SAMPLES, view_sample(3, 2, 8.1)],
            [*EARLIER_SAMPLES, view_sample(3, 1, 6.0)],
        ],
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_a_checker_accepts_a_good_history_and_rejects_bad_ones(name):
    check, good, bad = CASES[name]
    assert check(good) == []
    assert check([]) == [] or name == "changes in force"
    for history in bad:
        assert check(history), history


def test_accepted_changes_that_vanish_or_differ_are_found():
    made = [change(0, 1, 0, 1)]
    assert C.check_durability(made, {"s": {1: "d"}}) == []
    assert C.check_durability(made, {"s": {21: "x", 22: "y"}}) == []
    for final in ({}, {"s": {}}, {"s": {1: "other"}}):
        assert C.check_durability(made, final)


def test_an_entry_that_was_unreachable_may_be_late():
    args = [(5.0, "s", 2)], EARLIER_SAMPLES
    assert C.check_in_force(*args, [("e1", 4.0, 9.0)], ["e1"]) == []
    assert C.check_in_force(*args, [("e1", 1.0, 4.0)], ["e1"])
    assert C.check_in_force(*args, [("e2", 4.0, 9.0)], ["e1"])


@pytest.mark.parametrize(
    "broken",
    [
        {"votes": [C.Vote("a", 1, "a"), C.Vote("a", 1, "b")]},
        {"votes": [C.Vote("a", 1, "a")], "votes_before_disk_loss": {"a": 0}},
        {"terms_with_two_leaders": [3]},
        {"rewritten_log_entries": [(7, "a")]},
        {"unsynced_sends": 1},
    ],
)
def test_violations_of_agreement_are_found(broken):
    good = C.History(votes=[C.Vote("a", 1, "b"), C.Vote("a", 2, "b")])
    assert C.check_all(good, {}, []) == []
    assert C.check_all(dataclasses.replace(good, **broken), {}, [])
