"""Run all scenarios and tell known red ones from new failures."""

import pathlib
import re
import sys

from behave import configuration
from behave import model
from behave import runner

FEATURES = pathlib.Path(__file__).parent
KNOWN_RED = FEATURES.parent / "KNOWN-RED.txt"
ENTRY = re.compile(r"^test: (?P<file>\S+) : (?P<scenario>.+)$", re.MULTILINE)


def known_red() -> set[tuple[str, str]]:
    """Return file and name of each scenario that is known to fail."""
    if not KNOWN_RED.exists():
        return set()
    text = KNOWN_RED.read_text("utf-8")
    return {(m["file"], m["scenario"].strip()) for m in ENTRY.finditer(text)}


def scenarios_of(features):
    """Yield file and scenario for each scenario that was run."""
    for feature in features:
        for scenario in feature.walk_scenarios():
            yield pathlib.Path(feature.filename).name, scenario


def main(arguments: list[str]) -> int:
    sys.path.insert(0, str(FEATURES))
    options = ["--format=progress3", "--no-skipped", "--summary"]
    config = configuration.Configuration(
        [*options, *(arguments or [str(FEATURES)])]
    )
    config.environment_file = str(FEATURES / "environment.py")
    run = runner.Runner(config)
    run.run()
    red = known_red()
    passed, failed, expected = 0, [], []
    for file, scenario in scenarios_of(run.features):
        if scenario.status == model.Status.passed:
            passed += 1
        elif scenario.status not in (
            model.Status.untested,
            model.Status.skipped,
        ):
            name = (file, scenario.name)
            (expected if name in red else failed).append(name)
    for file, name in expected:
        print(f"known red: {file} : {name}")
    for file, name in failed:
        print(f"failed: {file} : {name}")
    print(f"behave: {passed} passed, {len(failed)} failed")
    return 1 if failed or passed == 0 else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
