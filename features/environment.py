"""Hooks that behave calls around each scenario."""

import sys

from behave import model

LOG_TAIL_CHARACTERS = 2500


def before_scenario(context, scenario):
    context.cluster = None
    context.closers = []


def after_scenario(context, scenario):
    has_failed = scenario.status in (model.Status.failed, model.Status.error)
    if has_failed and context.cluster:
        for node in context.cluster.nodes:
            if not node.log_path.exists():
                continue
            tail = node.log_text()[-LOG_TAIL_CHARACTERS:]
            print(f"--- log of {node.name}\n{tail}", file=sys.stderr)
    for close in reversed(context.closers):
        close()
    if context.cluster is not None:
        context.cluster.close()
