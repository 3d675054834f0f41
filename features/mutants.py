"""Mutation tests: disables one mechanism at a time and expects a failure.

Each mutant is a small change to a copy of the sources. A mutant that its
scenario does not detect is printed and makes the run fail.
"""

import concurrent.futures
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from typing import NamedTuple

ROOT = pathlib.Path(__file__).parent.parent
WORKERS = 4
TIMEOUT_S = 400


class Mutant(NamedTuple):
    """A change to the sources that disables a mechanism.

    Attributes:
        name: What the change breaks.
        edits: File below src/bilberryturn, old text and new text of each
            change.
        feature: Name of the feature file without its suffix.
        scenario: Part of the name of the scenario that must fail.
    """

    name: str
    edits: tuple[tuple[str, str, str], ...]
    feature: str
    scenario: str


MUTANTS = (
    Mutant(
        "requests to brittle servers need no place",
        (
            (
                "gateway/availability.py",
                "if withstood_per_s is not None:",
                "if False:",
            ),
        ),
        "brittle_servers",
        "60 nodes, a load of 1.8",
    ),
    Mutant(
        "a server that has not answered yet isn't brittle",
        (
            (
                "gateway/availability.py",
                "< newest_s.get(server.service, -math.inf)",
                "< -math.inf",
            ),
        ),
        "brittle_servers",
        "as brittle as the others",
    ),
    Mutant(
        "a rejection takes no place back",
        (
            (
                "routing/brittle_windows.py",
                "self.limit = max(1, min(self.limit, in_flight) - 1)",
                "pass",
            ),
        ),
        "brittle_servers",
        "60 nodes, a load of 1.8",
    ),
    Mutant(
        "a reading that waited while the node was suspended counts as new",
        (
            (
                "edge/followers.py",
                "called_s,\n                    result.ok.era,",
                "leases.boottime_s(),\n                    result.ok.era,",
            ),
        ),
        "relays",
        "A list that waited while the node was suspended",
    ),
    Mutant(
        "a node that was cut off takes the versions that serve for all",
        (
            (
                "gateway/exchange.py",
                "if not has_newer_list or shared.list_waits.has_gap:",
                "if not has_newer_list:",
            ),
        ),
        "software_versions",
        "came and left",
    ),
    Mutant(
        "a stream goes on by a list from before it was taken up",
        (
            (
                "gateway/exchange.py",
                "if not has_newer_list or shared.list_waits.has_gap:",
                "if shared.list_waits.has_gap:",
            ),
        ),
        "software_versions",
        "that was suspended for 3 s",
    ),
    Mutant(
        "a server that listens again counts as going on",
        (
            (
                "gateway/witnesses.py",
                "is_same_end = ended_s",
                "is_same_end = False and ended_s",
            ),
        ),
        "answers",
        "The process of a server ends",
    ),
    Mutant(
        "a reset behind the end of an answer is not noticed",
        (
            (
                "gateway/answer_ends.py",
                "    if answer.connection.is_reset:",
                "    if False:",
            ),
        ),
        "answers",
        "then ends its side and resets",
    ),
    Mutant(
        "the end of a moved stream is judged by other connections first",
        (
            (
                "gateway/answer_ends.py",
                "    cut = await _find_stop(answer.move)\n",
                "    await answer.witness.goes_on(answer.wait_s)\n"
                "    cut = await _find_stop(answer.move)\n",
            ),
        ),
        "moves",
        "does not wait for other connections",
    ),
    Mutant(
        "an answer that is there is dropped at its time limit",
        (
            (
                "gateway/attempts.py",
                "if end_s > self._time_limit.when():",
                "if False:",
            ),
        ),
        "answers",
        "is judged beyond it",
    ),
    Mutant(
        "an answer that its server stopped at the time limit looks whole",
        (
            (
                "gateway/answer_ends.py",
                "if answer.limit.may_have_stopped(",
                "if False and answer.limit.may_have_stopped(",
            ),
        ),
        "time_limits",
        "A server stops 0 ms before",
    ),
    Mutant(
        "a stop at the time limit counts as a crash of the server",
        (
            (
                "gateway/crash_records.py",
                "if not is_idle_end and not end.is_at_limit:",
                "if not is_idle_end:",
            ),
        ),
        "time_limits",
        "that is sent again and again",
    ),
    Mutant(
        "a crash at the time limit does not count",
        (
            (
                "gateway/answer_ends.py",
                "            is_disconnect=True,\n        )\n    if is_empty",
                "            may_be_crash=False,\n        )\n    if is_empty",
            ),
        ),
        "crashes",
        "in an answer without a length, count",
    ),
    Mutant(
        "a server stops no earlier than its time limit",
        (
            (
                "gateway/time_limits.py",
                "<= max(0.0, early_s)",
                "<= 0.0",
            ),
        ),
        "time_limits",
        "A server stops 15 ms before",
    ),
    Mutant(
        "a server has no time while the node is suspended",
        (
            (
                "gateway/receivers.py",
                "self.ended_boottime_s = leases.boottime_s()",
                "self.ended_boottime_s = self.ended_s",
            ),
            (
                "gateway/attempts.py",
                "            leases.boottime_s(), remaining_s",
                "            time.monotonic(), remaining_s",
            ),
        ),
        "time_limits",
        "The machine of the node is suspended",
    ),
    Mutant(
        "a safe request is sent again into time that is over",
        (
            (
                "gateway/exchange.py",
                "self._is_time_over = result.is_time_over",
                "self._is_time_over = False",
            ),
        ),
        "time_limits",
        "The machine of the node is suspended",
    ),
    Mutant(
        "a spare connection that the server rejects shows its end",
        (
            (
                "gateway/witnesses.py",
                "is_same_end and not self.is_rejected",
                "is_same_end",
            ),
        ),
        "answers",
        "ends as its server is to leave in 9 s",
    ),
    Mutant(
        "an answer of a leaving server is taken for cut",
        (
            (
                "gateway/answer_ends.py",
                "    if goes_on:\n",
                "    if False:\n",
            ),
        ),
        "answers",
        "The process of a server goes on",
    ),
    Mutant(
        "a server's 503 is passed on though the request may have run",
        (
            (
                "gateway/exchange.py",
                "if status in outcomes.NOT_RUN_STATUSES and not may_run_again:",
                "if False:",
            ),
        ),
        "gateway",
        "A server may have run",
    ),
    Mutant(
        "the caller's authorization header is forwarded",
        (
            (
                "entry/services.py",
                'FORWARDED_HEADERS = ("content-type",',
                'FORWARDED_HEADERS = ("authorization", "content-type",',
            ),
        ),
        "keys",
        "No backend server",
    ),
    Mutant(
        "a caller may set its client account by header",
        (
            (
                "entry/services.py",
                'FORWARDED_HEADERS = ("content-type",',
                'FORWARDED_HEADERS = ("x-client-account", "content-type",',
            ),
        ),
        "keys",
        "only for the client account",
    ),
    Mutant(
        "revoking a key does not cancel running requests",
        (
            (
                "daemon/node.py",
                "exchange.cancel(entry_exceptions.UnknownKeyError())",
                "pass",
            ),
        ),
        "keys",
        "A withdrawn key stops",
    ),
    Mutant(
        "an isolated node trusts keys without limit",
        (
            (
                "daemon/node.py",
                "self.plane.isolated_s() > limit_s",
                "False",
            ),
        ),
        "keys",
        "the platform and all peers",
    ),
    Mutant(
        "a successor does not wait for the lease's time to live",
        (
            (
                "leases/lease.py",
                "waited_s >= self._takeover_wait_s()",
                "waited_s >= self._options.ttl_s / 2",
            ),
        ),
        "leases",
        "never hold a lease at once: everything",
    ),
    Mutant(
        "a holder does not check the validity time of its lease",
        (
            (
                "leases/lease.py",
                "self._held and self._clock() < self._valid_until_s",
                "self._held",
            ),
        ),
        "leases",
        "never hold a lease at once: pauses",
    ),
    Mutant(
        "orders are sent without holding the lease",
        (
            (
                "fleet/controller.py",
                "if not self._lease.is_held():\n            return False\n"
                "        sent",
                "if False:\n            return False\n        sent",
            ),
        ),
        "leases",
        "frozen at any step; the platform ignores",
    ),
    Mutant(
        "a server is stopped while it runs requests",
        (
            (
                "fleet/controller.py",
                "busy = {name for pool in view.pools for name in"
                " pool.busy_leaving}",
                "busy = set()",
            ),
        ),
        "leases",
        "stopped only when it runs nothing",
    ),
    Mutant(
        "figures are summed again at each attempt",
        (
            ("usage/reporter.py", "if frozen.ok.version > 0:", "if False:"),
            (
                "usage/reporter.py",
                "if closed.ok.version > 0:\n            return True",
                "return True",
            ),
            ("usage/store.py", "closed_key(window): 0}", "}"),
        ),
        "usage",
        "flushed late",
    ),
    Mutant(
        "a usage batch is not deduplicated",
        (
            ("usage/store.py", "{unique_key: 0, closed", "{closed"),
            ("usage/store.py", "+ batch.batch_id\n", "+ str(id(value))\n"),
        ),
        "usage",
        "the table loses answers",
    ),
    Mutant(
        "no peer replicates usage",
        (
            (
                "daemon/usage_recorder.py",
                'f"usage/{batch.owner}")[:REPLICAS]',
                'f"usage/{batch.owner}")[:0]',
            ),
        ),
        "usage",
        "the table is down and a node is killed",
    ),
    Mutant(
        "a call is not recorded before it is sent",
        (
            (
                "entry/services.py",
                "recorded = record.start()",
                "recorded = None",
            ),
        ),
        "once",
        "two entries at once",
    ),
    Mutant(
        "a request that was sent counts as not run",
        (
            (
                "entry/grants.py",
                "request.may_have_run = True",
                "request.may_have_run = False",
            ),
        ),
        "once",
        "service disconnects before answering",
    ),
    Mutant(
        "duplicate events are forwarded",
        (
            (
                "entry/answers.py",
                "if number <= self.last_event_id:",
                "if False:",
            ),
        ),
        "whole",
        "duplicates after",
    ),
    Mutant(
        "a continuation starts from the beginning",
        (
            (
                "entry/upstream.py",
                "if not text:\n        return msgspec",
                "if True:\n        return msgspec",
            ),
        ),
        "whole",
        "a cut without resumption",
    ),
    Mutant(
        "an interrupted stream counts as complete",
        (
            (
                "entry/completions.py",
                "if event.error:\n                    raise"
                " attempts.StreamInterruptedError",
                "if False:\n                    raise"
                " attempts.StreamInterruptedError",
            ),
            (
                "entry/completions.py",
                "raise attempts.StreamInterruptedError(\n"
                "            backends.CallEnd(",
                "return\n        raise attempts.StreamInterruptedError(\n"
                "            backends.CallEnd(",
            ),
        ),
        "whole",
        "a crash",
    ),
    Mutant(
        "a request may crash any number of engines",
        (
            (
                "scheduling/suspects.py",
                "MARKS_TO_QUARANTINE = 2",
                "MARKS_TO_QUARANTINE = 99",
            ),
        ),
        "whole",
        "crashes engines",
    ),
    Mutant(
        "crashes over kept connections go uncounted",
        (
            (
                "gateway/crash_records.py",
                "    if end.is_disconnect:\n        shared.crash_checks",
                "    if False:\n        shared.crash_checks",
            ),
        ),
        "crashes",
        "over kept connections",
    ),
    Mutant(
        "a closed kept connection counts as a crash",
        (
            (
                "gateway/crash_checks.py",
                "        has_ended = False\n",
                "        has_ended = True\n",
            ),
        ),
        "crashes",
        "kept connections are closed",
    ),
    Mutant(
        "an error clears the crashes of a request",
        (
            (
                "gateway/attempts.py",
                "        if head.status < 500:\n",
                "        if head.status < 600:\n",
            ),
        ),
        "crashes",
        "An error of a server",
    ),
    Mutant(
        "changes are read since a version of another era",
        (
            (
                "platform/rows.py",
                "if page.ver < since or answer_era != era:",
                "if page.ver < since:",
            ),
        ),
        "restores",
        "given out again",
    ),
    Mutant(
        "a transaction expects a version of another era",
        (("platform/rows.py", "if eras - {self.era}:", "if False:"),),
        "restores",
        "A transaction that expects",
    ),
    Mutant(
        "a transaction that crosses a restore counts as committed",
        (
            (
                "platform/rows.py",
                "if not self._era_tracker.observe(era) or eras - {era}:",
                "if not self._era_tracker.observe(era):",
            ),
        ),
        "restores",
        "A transaction that expects",
    ),
    Mutant(
        "a head that was cut counts as a whole one",
        (
            (
                "platform/http.py",
                "        if not head.is_complete:\n",
                "        if False:\n",
            ),
        ),
        "answers",
        "A client of the platform",
    ),
    Mutant(
        "draining servers receive requests",
        (
            (
                "brokers/pools.py",
                "    if vm.state != vms.RUNNING:\n        return True\n",
                "    return False\n",
            ),
        ),
        "leaving",
        "an operator's drain",
    ),
    Mutant(
        "a stop ends the process without draining",
        (
            (
                "daemon/main.py",
                "running_node.stop()\n",
                "__import__('os')._exit(0)\n",
            ),
        ),
        "leaving",
        "A planned stop",
    ),
    Mutant(
        "a stopping node of the gateway accepts requests until its end",
        (
            (
                "gateway/drain.py",
                "return deadline_s + RESPONSE_MARGIN_S <= self.end_s",
                "return True",
            ),
        ),
        "planned_stop",
        "in two halves",
    ),
    Mutant(
        "a stopping node begins the next cycle of a connection",
        (
            (
                "gateway/server.py",
                "if self._server.is_closed and not self._has_partial_head:",
                "if False:",
            ),
            (
                "gateway/drain.py",
                "return deadline_s + RESPONSE_MARGIN_S <= self.end_s",
                "return True",
            ),
        ),
        "planned_stop",
        "behind the stream that ends after 3.7 s",
    ),
    Mutant(
        "a stopping node announces a close before a request sent ahead",
        (
            (
                "gateway/server.py",
                "if closes and CLOSE not in headers"
                " and not self._has_next_request():",
                "if closes and CLOSE not in headers:",
            ),
        ),
        "planned_stop",
        "a delayed response is answered",
    ),
    Mutant(
        "parts of prompts that crash servers are not refused",
        (
            (
                "gateway/exchange.py",
                "        if self._crash_cause is not None:\n            return",
                "        if False:\n            return",
            ),
        ),
        "part_crashes",
        "between other parts",
    ),
    Mutant(
        "answers do not clear a part of the crashes around it",
        (
            (
                "routing/crash_causes.py",
                "elif crash.at_s <= self._answered.get(part, 0.0):",
                "elif False:",
            ),
        ),
        "part_crashes",
        "before the part's last answer",
    ),
    Mutant(
        "the first of several parts is refused instead of the last",
        (
            (
                "routing/crash_causes.py",
                "if self._cause(cause.part, rest) is None:",
                "if False:",
            ),
        ),
        "part_crashes",
        "that always come together",
    ),
    Mutant(
        "answers do not release a request that is like others",
        (
            (
                "routing/crash_causes.py",
                "MIN_ANSWERS_PER_CRASH = 1",
                "MIN_ANSWERS_PER_CRASH = 9999",
            ),
        ),
        "alike_requests",
        "several servers are lost",
    ),
    Mutant(
        "requests may hold any number of bytes together",
        (
            (
                "gateway/memory.py",
                "REQUEST_SHARE = 0.2",
                "REQUEST_SHARE = 99.0",
            ),
        ),
        "node_memory",
        "What the account",
    ),
    Mutant(
        "a connection's turn does not end",
        (
            (
                "gateway/loop_time.py",
                "PIECES_PER_TURN = 16",
                "PIECES_PER_TURN = 10**9",
            ),
        ),
        "node_memory",
        "Connections with many pieces",
    ),
    Mutant(
        "an entry does not retry at a second broker",
        (
            (
                "brokers/client.py",
                "for pending in list(self.pending_requests.values()):",
                "for pending in ():",
            ),
            (
                "brokers/client.py",
                "if pending is not None and pending.is_confirmed:",
                "if False:",
            ),
        ),
        "leaving",
        "the broker of a pool",
    ),
    Mutant(
        "a commit does not check the head version",
        (
            (
                "declarations/store.py",
                "if head.version >= change.version:",
                "if False:",
            ),
            (
                "declarations/store.py",
                "if head.version != change.version - 1:",
                "if False:",
            ),
            (
                "declarations/store.py",
                "{HEAD_KEY: head.row_version, key: 0}",
                "{}",
            ),
            (
                "daemon/commits.py",
                "if current.version != expected_version:",
                "if False:",
            ),
        ),
        "configuration",
        "two operators",
    ),
    Mutant(
        "an older version is applied",
        (
            (
                "daemon/configuration.py",
                "if newer.version <= previous_version:",
                "if False:",
            ),
            (
                "daemon/configuration.py",
                "if message.version <= self.current.version:",
                "if False:",
            ),
        ),
        "configuration",
        "an old change is replayed",
    ),
    Mutant(
        "nodes receive declarations only from the platform",
        (
            (
                "daemon/configuration.py",
                "if version > self.current.version:",
                "if False:",
            ),
        ),
        "configuration",
        "while the platform is down",
    ),
    Mutant(
        "lower tiers are served first",
        (
            (
                "scheduling/queue.py",
                "for tier in sorted(self._tiers):\n            accounts",
                "for tier in sorted(self._tiers, reverse=True):\n"
                "            accounts",
            ),
        ),
        "tiers",
        "keeps its invariants",
    ),
    Mutant(
        "a tier has no guaranteed share",
        (
            (
                "scheduling/queue.py",
                "if placed is not None:\n            return placed\n"
                "        for tier",
                "if False:\n            return placed\n        for tier",
            ),
            (
                "scheduling/queue.py",
                "placed = self._place_starving(now_s)",
                "placed = None",
            ),
        ),
        "tiers",
        "No tier starves",
    ),
    Mutant(
        "usage is counted by the clock of the VM",
        (
            (
                "edge/shared_clock.py",
                "return store_s + utc_offset_s",
                "return self._time_of_day()",
            ),
        ),
        "clocks",
        "all clocks jump 30 s ahead for 8 s",
    ),
    Mutant(
        "a slow answer of the store moves the clock",
        (
            (
                "edge/shared_clock.py",
                "if error_s > aged_error_s:",
                "if False:",
            ),
        ),
        "clocks",
        "A slow answer",
    ),
    Mutant(
        "a node behind a relay drops the entries that lapsed in an outage",
        (
            (
                "edge/feeds.py",
                "            state.after_outage,",
                "            False,",
            ),
        ),
        "relays",
        "Entries that lapsed",
    ),
    Mutant(
        "a node's own outage counts as one of the servers",
        (
            (
                "edge/feeds.py",
                "if after_outage and unconfirmed_s >= self._min_lapse_s:",
                "if after_outage:",
            ),
        ),
        "relays",
        "outage of its nodes alone",
    ),
    Mutant(
        "a node waits for a relay that fails while the store can be reached",
        (
            (
                "edge/relays.py",
                "            and first.outage.is_within(RETURN_WAIT_S)",
                "            and (first.reached_for_s() or 0) < RETURN_WAIT_S",
            ),
            (
                "edge/followers.py",
                "        if self.reached_for_s() is None:\n            return\n"
                "        for",
                "        return\n        for",
            ),
        ),
        "relays",
        "peers stop to answer",
    ),
    Mutant(
        "a configuration is not compressed",
        (
            (
                "edge/peer_state.py",
                "if not self.config or not known.accepts_compressed:",
                "if True:",
            ),
        ),
        "relays",
        "of 1,200 routes",
    ),
    Mutant(
        "each node issues permits to itself",
        (
            (
                "gateway/permits.py",
                "if node == self._peers.own_address:",
                "if node:",
            ),
        ),
        "limits",
        "limit of s3, one",
    ),
    Mutant(
        "a replacement of an issuer hands out the whole limit at once",
        (
            (
                "routing/permits.py",
                "return 1.0 if rank == 0 else",
                "return 1.0 if True else",
            ),
        ),
        "issuers",
        "a third of the nodes miss",
    ),
    Mutant(
        "nodes of one failure domain only issue a server's permits",
        (
            (
                "routing/permits.py",
                "{*all_nodes} - {*domain_nodes}",
                "set()",
            ),
        ),
        "issuers",
        "all nodes of a domain end",
    ),
    Mutant(
        "a node that knows no servers counts as their issuer",
        (
            (
                "gateway/permits.py",
                "return self._peers.are_known()",
                "return True",
            ),
        ),
        "issuers",
        "starts again while the store is away",
    ),
    Mutant(
        "a silent issuer is never replaced in full",
        (
            (
                "gateway/issuer_checks.py",
                "return IssuerState.GONE if is_gone else",
                "return",
            ),
        ),
        "issuers",
        "machines at other addresses",
    ),
    Mutant(
        "cold servers have no limit",
        (
            (
                "routing/slow_start.py",
                "if service.cold_s <= 0 or service.cold_rate_per_s <= 0:",
                "if True:",
            ),
        ),
        "slow_start",
        "A warm server takes",
    ),
    Mutant(
        "a relay passes no new end of a cold time on",
        (
            (
                "routing/slow_start.py",
                "return known_s if is_same and not is_new else until_s",
                "return known_s",
            ),
        ),
        "slow_start",
        "becomes cold again",
    ),
    Mutant(
        "each node that reaches no issuer sends what it likes",
        (
            (
                "routing/slow_start.py",
                "if elapsed_s < TURN_S and",
                "if True or",
            ),
        ),
        "slow_start",
        "Nodes that reach no issuer",
    ),
    Mutant(
        "lower tiers leave no permit in reserve",
        (("routing/permits.py", "RESERVE = 1.0", "RESERVE = 0.0"),),
        "limits",
        "higher tier",
    ),
    Mutant(
        "an entry that says ready brings a leaving server back",
        (
            (
                "routing/directory.py",
                "self._tombstones[key] = now_s\n            elif",
                "pass\n            if",
            ),
        ),
        "limits",
        "says in an answer",
    ),
    Mutant(
        "a refusal counts whichever request it names",
        (
            (
                "gateway/attempts.py",
                "if head.is_not_run and self._is_own_refusal(head):",
                "if head.is_not_run:",
            ),
        ),
        "operators",
        "names no request",
    ),
    Mutant(
        "a resumed stream may begin anew",
        (
            (
                "server_sent_events.py",
                "if not is_next:",
                "if False:",
            ),
        ),
        "operators",
        "begins with the first event again",
    ),
    Mutant(
        "a stream is resumed behind events that were not sent",
        (
            (
                "gateway/delivery.py",
                "                await self._send(",
                "                self._position = position\n"
                "                await self._send(",
            ),
        ),
        "streams",
        "waits for its caller",
    ),
    Mutant(
        "events before bytes that are no events are dropped",
        (
            (
                "gateway/delivery.py",
                "        finally:\n            if unsent:",
                "        finally:\n            self._position = position\n"
                "            if unsent and len(unsent) > 1:",
            ),
        ),
        "streams",
        "an error's head",
    ),
    Mutant(
        "an end without framing is believed while the run is moved",
        (
            (
                "gateway/answer_ends.py",
                "if move is not None:",
                "if False:",
            ),
        ),
        "moves",
        "A stream without length or chunks closes",
    ),
    Mutant(
        "an end without framing is believed of a server that is due to leave",
        (
            (
                "gateway/answer_ends.py",
                "if _is_ending(shared, server.lifetime, time.monotonic()):",
                "if False:",
            ),
        ),
        "answers",
        "is due to leave",
    ),
    Mutant(
        "the copy of a run that nobody uses is kept",
        (
            (
                "gateway/attempts.py",
                "self._shared.unused_copies.release_after(self._move)",
                "pass",
            ),
        ),
        "moves",
        "is freed",
    ),
    Mutant(
        "the rest of a line is judged again with each read",
        (
            (
                "server_sent_events.py",
                "                self._line_start = len(self._buffer)\n"
                "                if not line:",
                "                if not line:",
            ),
        ),
        "streams",
        "The work to judge one event of many lines",
    ),
    Mutant(
        "an LF behind the CR of a blank line begins an event",
        (
            (
                "server_sent_events.py",
                "if is_rest_of_line_end and not self._buffer:",
                "if False:",
            ),
        ),
        "streams",
        "byte by byte",
    ),
    Mutant(
        "the first of many parts are not reported",
        (
            (
                "routing/part_crashes.py",
                "            crash_reports.short_names(parts),\n            *",
                "            crash_reports.short_names(parts[-16:]),\n"
                "            *",
            ),
        ),
        "part_crashes",
        "One part of 20 ",
    ),
    Mutant(
        "each crash is reported with the same parts of one crash",
        (
            (
                "routing/crash_reports.py",
                "salt = zlib.crc32(crash.server.encode())",
                "salt = 0",
            ),
        ),
        "part_crashes",
        "A long prompt is found by its part",
    ),
    Mutant(
        "parts that were answered together are reported one by one",
        (
            (
                "routing/crash_reports.py",
                "MIN_DIGESTED_PARTS = 8",
                "MIN_DIGESTED_PARTS = 9999",
            ),
        ),
        "part_crashes",
        "Sound prompts that share all but one",
    ),
    Mutant(
        "the age of a reply counts from when it is applied",
        (
            (
                "edge/feeds.py",
                "confirmed_s = received_s - state.servers_age_s",
                "confirmed_s = time.monotonic() - state.servers_age_s",
            ),
        ),
        "relays",
        "A reply that waits",
    ),
    Mutant(
        "a node keeps the relay's revision after a reading of its own",
        (
            (
                "edge/feeds.py",
                'self.peer_revision = ""\n        self._raw.servers_read_s',
                "self._raw.servers_read_s",
            ),
        ),
        "relays",
        "A node has what its relay has",
    ),
    Mutant(
        "an event may have any size",
        (
            (
                "gateway/response_limits.py",
                "MAX_EVENT_BYTES = 1024 * 1024",
                "MAX_EVENT_BYTES = 1 << 40",
            ),
        ),
        "operators",
        "A server sends an event without end",
    ),
    Mutant(
        "any number of informational responses is read",
        (
            (
                "gateway/response_limits.py",
                "MAX_INFORMATIONAL_RESPONSES = 8",
                "MAX_INFORMATIONAL_RESPONSES = 1 << 40",
            ),
        ),
        "operators",
        "A server sends informational responses",
    ),
    Mutant(
        "a broken answer to an HTTP/1.0 caller ends like a complete one",
        (
            (
                "gateway/server.py",
                'if self._parser.their_http_version == b"1.0":',
                "if False:",
            ),
        ),
        "operators",
        "cut after the last event is no complete success for an HTTP/1.0",
    ),
    Mutant(
        "a stop closes a connection with half a head",
        (
            (
                "gateway/server.py",
                "            or self._has_partial_head\n",
                "",
            ),
        ),
        "operators",
        "A stop finds a request in a head half received",
    ),
    Mutant(
        "an error in a follower ends its thread",
        (
            (
                "edge/followers.py",
                "except Exception as error:",
                "except KeyError as error:",
            ),
        ),
        "operators",
        "An error while a reading",
    ),
    Mutant(
        "a late copy of an answer ends the next attempt",
        (
            (
                "gateway/attempts.py",
                "if not self._connection.is_reused or not is_late_copy:",
                "if True:",
            ),
        ),
        "operators",
        "A second copy of an answer comes with",
    ),
    Mutant(
        "accounts are ordered by name instead of usage",
        (
            (
                "scheduling/queue.py",
                "sorted(accounts, key=self._counters.value)",
                "sorted(accounts)",
            ),
        ),
        "tiers",
        "does not starve",
    ),
    Mutant(
        "an account accumulates credit while it is idle",
        (
            (
                "scheduling/fairness.py",
                "if floor is not None and floor > self.value(client_account):",
                "if False:",
            ),
        ),
        "tiers",
        "accumulates no credit",
    ),
    Mutant(
        "a full queue sheds the highest tier",
        (
            (
                "scheduling/queue.py",
                "lowest = max(self._tiers)\n"
                "        if lowest < request.tier:\n"
                "            return None",
                "lowest = min(self._tiers)",
            ),
        ),
        "tiers",
        "keeps its invariants",
    ),
    Mutant(
        "a domain without servers does not forward requests",
        (
            (
                "brokers/router.py",
                "if not self._directory.brokers(domain, name, now_s):",
                "if True:",
            ),
        ),
        "partition",
        "without servers of its own",
    ),
    Mutant(
        "a placement that retries don't ask",
        (
            (
                "gateway/exchange.py",
                "shared.candidates(request.requirements),",
                "shared.directory.usable(request.service.name),",
            ),
            (
                "gateway/exchange.py",
                "if is_permitted and self._may_send(chosen):",
                "if is_permitted:",
            ),
        ),
        "placement",
        "whose server in its home region",
    ),
    Mutant(
        "a placement that moves don't ask",
        (
            (
                "gateway/attempts.py",
                "shared.candidates(request.requirements),",
                "shared.directory.usable(request.service.name),",
            ),
        ),
        "moves",
        "is not moved to an engine in",
    ),
    Mutant(
        "a placement that copies of runs don't ask",
        (
            (
                "gateway/exchange.py",
                "if not self._may_send(result.chosen):",
                "if False:",
            ),
        ),
        "moves",
        "is drained while the run is copied",
    ),
    Mutant(
        "a placement that forgets the era of the store",
        (
            (
                "edge/drained_domains.py",
                "(era, confirmed_s) <= (\n            self.era,",
                "(0, confirmed_s) <= (\n            0,",
            ),
        ),
        "placement",
        "The drained failure domains after",
    ),
    Mutant(
        "a node reads the changes since its own last reading",
        (
            (
                "edge/followers.py",
                "        self._drop_replaced()\n        is_snapshot",
                "        is_snapshot",
            ),
        ),
        "narrow_links",
        "reads each table once",
    ),
    Mutant(
        "a large configuration comes with the poll",
        (
            (
                "edge/relays.py",
                "            self._offer_config is not None,",
                "            False,",
            ),
        ),
        "narrow_links",
        "slower than the poll's timeout",
    ),
    Mutant(
        "all of a configuration is sent for each change",
        (
            (
                "edge/peer_state.py",
                "base = self._earlier_configs.get(base_digest)",
                "base = None",
            ),
        ),
        "narrow_links",
        "more routes cost",
    ),
    Mutant(
        "a stream goes on at any version within an answer",
        (
            (
                "gateway/exchange.py",
                "            if self._delivery.event_count:\n"
                "                # Another",
                "            if False:\n                # Another",
            ),
        ),
        "software_versions",
        "whose server ends",
    ),
    Mutant(
        "a stream is taken up at any version",
        (
            (
                "gateway/exchange.py",
                "if not self._is_resumable or not is_taken_up:",
                "if True:",
            ),
        ),
        "software_versions",
        "A stream is taken up at",
    ),
    Mutant(
        "a starting node takes the versions that it sees for all",
        (
            (
                "routing/software_versions.py",
                "        if not self.is_complete:\n            return True\n",
                "",
            ),
        ),
        "software_versions",
        "before it has read the reports",
    ),
)


def try_mutant(mutant: Mutant) -> tuple[bool, str]:
    """Return whether the scenario detected the mutant, and its output."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="mutant-"))
    try:
        # Node processes are started from the copy, by its deploy script.
        for name in ("src", "deploy", "features"):
            shutil.copytree(ROOT / name, folder / name)
        for file, old, new in mutant.edits:
            path = folder / "src" / "bilberryturn" / file
            text = path.read_text("utf-8")
            if old not in text:
                return False, f"{file} does not hold {old!r}"
            path.write_text(text.replace(old, new), "utf-8")
        command = [
            sys.executable,
            str(folder / "features" / "run.py"),
            "--here",
            str(folder / "features" / f"{mutant.feature}.feature"),
            "-n",
            mutant.scenario,
        ]
        finished = subprocess.run(
            command,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
            env={**os.environ, "PYTHONPATH": str(folder / "src")},
        )
    except subprocess.TimeoutExpired:
        return True, "timed out"
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    output = finished.stdout
    return "\nfailed: " in output, output[-1500:]


def main(arguments: list[str]) -> int:
    """Run all mutants, or those whose names contain an argument."""
    chosen = [
        m
        for m in MUTANTS
        if not arguments or any(a in m.name for a in arguments)
    ]
    missed = 0
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        results = pool.map(try_mutant, chosen)
        for mutant, (noticed, output) in zip(chosen, results, strict=True):
            place = f"{mutant.feature}.feature: {mutant.scenario}"
            if noticed:
                print(f"noticed: {mutant.name} ({place})", flush=True)
                continue
            missed += 1
            print(f"MISSED: {mutant.name} ({place})\n{output}", flush=True)
    print(f"{len(chosen) - missed} of {len(chosen)} mutants noticed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
