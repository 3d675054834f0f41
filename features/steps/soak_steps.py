"""Steps of soak.feature."""

import behave

from soak import run


@behave.then("a soak of {seconds:d} s with seed {seed:d} violates no invariant")
def then_soak(context, seconds, seed):
    checker, log, folder = run.run_seed(seed, seconds)
    assert checker.success_count > 0, "no request was answered"
    assert not checker.violations, (checker.violations[:5], log, folder)
