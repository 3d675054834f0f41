"""Steps of watchdog.feature."""

import pathlib
import signal
import subprocess
import sys
import time

import behave

import bilberryturn

SOURCES = pathlib.Path(bilberryturn.__file__).parents[1]
TIMEOUT_S = 60.0
# The process writes a line once its event loop runs.
PROGRAM = """
import asyncio, re, sys, time
from bilberryturn.edge import watchdog

HANG_CPU_S = 0.5

async def rearm(guard):
    while True:
        guard.rearm()
        await asyncio.sleep(0.05)

def never_returns():
    re.fullmatch(r"(?:a|a)*b", "a" * 60)

async def short_callbacks():
    end_s = time.process_time() + 4 * HANG_CPU_S
    while time.process_time() < end_s:
        pause_s = time.process_time() + 0.02
        while time.process_time() < pause_s:
            pass
        await asyncio.sleep(0)

async def main():
    guard = watchdog.Watchdog(HANG_CPU_S)
    guard.start()
    task = asyncio.create_task(rearm(guard))
    await asyncio.sleep(0.1)
    print("running", flush=True)
    {action}
    task.cancel()

asyncio.run(main())
"""
ACTIONS = {
    "is paused by a signal in a callback": "sys.stdin.readline()",
    "waits in a callback": "time.sleep(1.5)",
    "uses much processor time in short callbacks": "await short_callbacks()",
}


def _start(context, action):
    context.process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM.replace("{action}", action)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={"PYTHONPATH": str(SOURCES)},
    )
    context.closers.append(context.process.kill)
    assert context.process.stdout.readline() == "running\n"


@behave.given(
    "a process with a watchdog of 0.5 s whose event loop matches a pattern"
    " without end"
)
def given_hanging(context):
    _start(context, "never_returns()")


@behave.then("the watchdog ends it")
def then_ended(context):
    _, context.errors = context.process.communicate(timeout=TIMEOUT_S)
    assert context.process.returncode == -signal.SIGPROF, (
        context.process.returncode,
        context.errors,
    )


@behave.then("its standard error names the function that hangs")
def then_named(context):
    assert "never_returns" in context.errors, context.errors


@behave.given("a process with a watchdog of 0.5 s that {does}")
def given_sound(context, does):
    _start(context, ACTIONS[does])
    if "paused" in does:
        context.process.send_signal(signal.SIGSTOP)
        time.sleep(1.0)
        context.process.send_signal(signal.SIGCONT)


@behave.then("it ends by itself with status 0")
def then_sound(context):
    _, errors = context.process.communicate("\n", timeout=TIMEOUT_S)
    assert context.process.returncode == 0, errors
