"""Steps of soak.feature."""

import behave

from soak import run


@behave.then("a soak of {seconds:d} s with seed {seed:d} breaks no promise")
def then_soak(context, seconds, seed):
    verdicts, log, folder = run.run_seed(seed, seconds)
    assert verdicts.answered > 0, "nothing was answered"
    assert not verdicts.faults, (verdicts.faults[:5], log, folder)
