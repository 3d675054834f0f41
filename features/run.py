"""Runs the features and separates known red scenarios from new failures.

Each feature runs in its own process, WORKERS at a time. Arguments are paths
of feature files; without them all features run.
"""

import concurrent.futures
import pathlib
import re
import subprocess
import sys

from behave import configuration
from behave import model
from behave import runner

FEATURES = pathlib.Path(__file__).parent
KNOWN_RED = FEATURES.parent / "KNOWN-RED.txt"
KNOWN_RED_ENTRY = re.compile(
    r"^test: (?P<file>\S+) : (?P<scenario>.+)$", re.MULTILINE
)
RESULT = re.compile(r"^(passed|failed): (\S+) : (.+)$", re.MULTILINE)
WORKERS = 4
FEATURE_TIMEOUT_S = 1500


def known_red() -> set[tuple[str, str]]:
    """Return file and name of each scenario listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    text = KNOWN_RED.read_text("utf-8")
    return {
        (m["file"], m["scenario"].strip())
        for m in KNOWN_RED_ENTRY.finditer(text)
    }


def run_here(arguments: list[str]) -> None:
    """Run features in this process; print a result line per scenario."""
    sys.path.insert(0, str(FEATURES))
    options = ["--format=progress3", "--no-skipped", "--summary"]
    config = configuration.Configuration([*options, *arguments])
    config.environment_file = str(FEATURES / "environment.py")
    run = runner.Runner(config)
    run.run()
    for feature in run.features:
        file = pathlib.Path(feature.filename).name
        for scenario in feature.walk_scenarios():
            if scenario.status == model.Status.passed:
                print(f"passed: {file} : {scenario.name.strip()}")
            elif scenario.status not in (
                model.Status.untested,
                model.Status.skipped,
            ):
                print(f"failed: {file} : {scenario.name.strip()}")


def run_feature(path: pathlib.Path) -> str:
    """Run one feature in a child process; returns its output."""
    command = [sys.executable, __file__, "--here", str(path)]
    try:
        finished = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=FEATURE_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return f"failed: {path.name} : the whole feature (timed out)\n"
    output = finished.stdout
    if not RESULT.search(output):
        output += finished.stderr
        output += f"\nfailed: {path.name} : the whole feature (no result)\n"
    return output


def run_all(paths: list[pathlib.Path]) -> int:
    """Run features, WORKERS at a time; returns the exit status."""
    results: list[tuple[str, str, str]] = []
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for output in pool.map(run_feature, paths):
            feature_results = RESULT.findall(output)
            results.extend(feature_results)
            if any(status == "failed" for status, _, _ in feature_results):
                print(output)
            else:
                print(
                    f"{feature_results[0][1]}: {len(feature_results)} passed",
                    flush=True,
                )
    known = known_red()
    passed = sum(1 for status, _, _ in results if status == "passed")
    failed = [(f, s) for status, f, s in results if status == "failed"]
    new_failures = [entry for entry in failed if entry not in known]
    for file, name in failed:
        kind = "failed" if (file, name) in new_failures else "known red"
        print(f"{kind}: {file} : {name}")
    print(f"behave: {passed} passed, {len(new_failures)} failed")
    return 1 if new_failures or passed == 0 else 0


def main(arguments: list[str]) -> int:
    if arguments[:1] == ["--here"]:
        run_here(arguments[1:])
        return 0
    paths = [pathlib.Path(a) for a in arguments]
    # Large feature files take longest, so they are started first.
    all_features = sorted(
        FEATURES.glob("*.feature"), key=lambda p: -p.stat().st_size
    )
    return run_all(paths or all_features)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
