"""Steps of soak.feature."""

import behave

from soak import run


@behave.then(
    "a soak of {duration_s:d} s of {work} with seed {seed:d} violates no"
    " invariant"
)
def then_soak(context, duration_s, work, seed):
    outcome = run.run_seed(seed, duration_s, is_planned=work == "planned work")
    checker = outcome.checker
    assert checker.success_count > 0, "no request was answered"
    assert not checker.violations, (
        checker.violations[:5],
        outcome.faults,
        outcome.folder,
    )
