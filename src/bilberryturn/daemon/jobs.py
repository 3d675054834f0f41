"""Run blocking jobs, each at its own interval."""

from collections.abc import Callable
import concurrent.futures
import random
import threading
import time

from bilberryturn import events

JOB_WORKERS = 8
JITTER_RATIO = 0.2
MIN_POLL_INTERVAL_S = 0.02
MAX_POLL_INTERVAL_S = 0.25


class _Job:
    def __init__(self, name: str, interval_s, function):
        self.name = name
        self.interval_s = interval_s
        self.function = function
        self.due_s = time.monotonic() + random.random() * interval_s()
        self.is_running = False


class JobRunner:
    """Runs jobs on a thread pool; runs of one job never overlap."""

    def __init__(self):
        self._jobs: list[_Job] = []
        self._stopping = threading.Event()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            JOB_WORKERS, "job"
        )
        self._thread = threading.Thread(
            target=self._run, name="jobs", daemon=True
        )

    def call_periodically(
        self,
        name: str,
        interval_s: Callable[[], float],
        function: Callable[[], object],
    ) -> None:
        """Schedule a function at an interval, with jitter.

        The interval is read again at each run, so it may change.
        """
        self._jobs.append(_Job(name, interval_s, function))

    def start(self) -> None:
        """Start the scheduling thread."""
        self._thread.start()

    def submit(self, function: Callable, *arguments):
        """Run a function once; returns its future."""
        return self._executor.submit(function, *arguments)

    def stop(self) -> None:
        """Stop scheduling and wait for the running jobs."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()
        self._executor.shutdown(wait=True)

    def _run(self) -> None:
        while not self._stopping.wait(self._time_to_next_job_s()):
            now_s = time.monotonic()
            for job in self._jobs:
                if job.is_running or now_s < job.due_s:
                    continue
                job.is_running = True
                self._executor.submit(self._run_job, job)

    def _time_to_next_job_s(self) -> float:
        """Return the time until the next job is due that is not running."""
        now_s = time.monotonic()
        due_s = [job.due_s for job in self._jobs if not job.is_running]
        remaining_s = min(due_s, default=now_s + MAX_POLL_INTERVAL_S) - now_s
        return min(max(remaining_s, MIN_POLL_INTERVAL_S), MAX_POLL_INTERVAL_S)

    def _run_job(self, job: _Job) -> None:
        interval_s = MAX_POLL_INTERVAL_S
        try:
            interval_s = job.interval_s()
            job.function()
        except Exception as error:
            events.log(
                events.JOB_FAILED,
                job=job.name,
                error=f"{type(error).__name__}: {error}",
            )
        finally:
            jitter_s = random.uniform(-1, 1) * JITTER_RATIO * interval_s
            job.due_s = time.monotonic() + interval_s + jitter_s
            job.is_running = False
