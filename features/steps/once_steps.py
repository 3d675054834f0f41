"""Steps for calls that must not run twice."""

import concurrent.futures
import threading
import time

import behave

from bilberryturn_standins import cluster as cluster_module

BOOKING = b'{"mats": 6, "seed": 11}'
KEY = "booking-11"
LATE_S = 4.0


def send_booking(context, node, key=None, body=BOOKING):
    sender = context.cluster.caller(node, key or context.key)
    return sender.call_service("booking", "visits", body, "POST", KEY)


def standin(context):
    return context.cluster.services["booking-1"]


def wait_for_execution(context):
    cluster_module.wait_for(
        lambda: standin(context).executions, "the service to execute a call"
    )


def no_fault(context):
    pass


def lose_start(context):
    context.cluster.platform.set_fault(
        "table", "lose_answer", calls=1, match='"state":"started"'
    )


def lose_finish(context):
    context.cluster.platform.set_fault(
        "table", "lose_answer", calls=1, match='"state":"done"'
    )


def cut_before(context):
    standin(context).cut_before_answer = True


def cut_in(context):
    standin(context).cut_in_answer = True


def end_in(context):
    standin(context).ends_in_answer = True


def be_replaced(context):
    standin(context).is_replaced_in_answer = True


def answer_late(context):
    standin(context).delay_s = LATE_S
    context.cluster.apply(
        {
            "profile brief": {"tier": "0", "deadline_s": "1.5"},
            "service booking": {"profile": "brief"},
        }
    )


def kill_after_dispatch(context):
    standin(context).delay_s = 2.0

    def kill():
        wait_for_execution(context)
        context.cluster.nodes[0].kill()

    context.fault_thread = threading.Thread(target=kill, daemon=True)
    context.fault_thread.start()


def kill_before_dispatch(context):
    context.cluster.platform.set_fault(
        "table", "slow", delay_s=0.6, match='"state":"started"'
    )

    def kill():
        time.sleep(0.3)
        context.cluster.nodes[0].kill()

    context.fault_thread = threading.Thread(target=kill, daemon=True)
    context.fault_thread.start()


def table_down(context):
    context.cluster.platform.set_fault("table", "down")


def table_down_after_lookup(context):
    # The lookup, the first call that names the booking, does not match.
    context.cluster.platform.set_fault(
        "table", "down", match='"state":"started"'
    )


def stop_service(context):
    standin(context).stop()


def withdraw_key(context):
    standin(context).delay_s = 3.0

    def withdraw_during_call():
        wait_for_execution(context)
        context.cluster.nodes[1].admin().call("DELETE", f"/keys/{context.key}")

    context.fault_thread = threading.Thread(
        target=withdraw_during_call, daemon=True
    )
    context.fault_thread.start()


FAULTS = {
    "none": no_fault,
    "table answer to start lost": lose_start,
    "table answer to finish lost": lose_finish,
    "service disconnects before answering": cut_before,
    "service disconnects in its answer": cut_in,
    "service ends in an unframed answer": end_in,
    "service is replaced in an answer": be_replaced,
    "service answers too late": answer_late,
    "entry killed after dispatch": kill_after_dispatch,
    "entry killed before dispatch": kill_before_dispatch,
    "table down": table_down,
    "table down after the lookup": table_down_after_lookup,
    "service unreachable": stop_service,
    "key withdrawn during the call": withdraw_key,
}


@behave.when("a booking is sent under the fault: {fault}")
def step_booking(context, fault):
    FAULTS[fault](context)
    context.answer = send_booking(context, context.cluster.nodes[0])


@behave.when("the caller sends the booking again through the other entry")
def step_booking_again(context):
    if hasattr(context, "fault_thread"):
        context.fault_thread.join(30)
    context.cluster.platform.set_fault("table", "none")
    service = standin(context)
    service.cut_before_answer = service.cut_in_answer = False
    service.delay_s = 0.0
    if service._runner is None:
        service.start()
    node = context.cluster.nodes[1]
    key = context.cluster.grant("workshop-laredo", node)

    def has_server():
        # An open circuit breaker may exclude the restarted service briefly.
        context.answer = send_booking(context, node, key)
        return context.answer.code != "no_server"

    cluster_module.wait_for(has_server, "the service to be reachable")


def check_answer(answer, expected):
    if expected == "anything":
        return
    if expected == "a broken connection":
        assert answer.failure, (answer.status, answer.body)
        return
    if expected in ("the answer", "the recorded answer"):
        assert answer.status == 200, (answer.status, answer.body)
        assert answer.json()["done"] == KEY
        replayed = answer.headers.get("idempotent-replayed") == "true"
        assert replayed == (expected == "the recorded answer"), answer.headers
        return
    status, code, ran = expected.split(" ", 2)
    assert answer.status == int(status), (answer.status, answer.body)
    assert answer.code == code, answer.error
    assert answer.ran == ran, answer.error
    if answer.status == 503:
        assert int(answer.headers["retry-after"]) >= 1, answer.headers


@behave.then("the caller first gets {expected}")
@behave.then("the caller then gets {expected}")
def step_gets(context, expected):
    check_answer(context.answer, expected)


@behave.then("the service has executed the booking {executions}")
def step_executions(context, executions):
    count = standin(context).executions.count(KEY)
    if executions == "once":
        assert count == 1, count
    else:
        assert count <= 1, count


@behave.when("{count:d} bookings are each sent to both entries at once")
def step_duplicates(context, count):
    standin(context).delay_s = 0.05

    def send(job):
        node, number = job
        sender = context.cluster.caller(node, context.key)
        return number, sender.call_service(
            "booking", "visits", BOOKING, "POST", f"twin-{number}"
        )

    jobs = [(n, i) for i in range(count) for n in context.cluster.nodes]
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        context.duplicates = list(pool.map(send, jobs))


@behave.then("the service has executed each of the {count:d} bookings once")
def step_duplicates_once(context, count):
    executions = standin(context).executions
    assert len(executions) == len(set(executions)) == count, executions


@behave.then("each booking got at least one answer and no conflicting ones")
def step_duplicate_answers(context):
    numbers = {}
    for number, answer in context.duplicates:
        if answer.status == 200:
            numbers.setdefault(number, []).append(answer.json()["number"])
            continue
        assert answer.code == "outcome_unknown", (answer.status, answer.body)
        assert answer.ran in ("not run", "may have run")
    assert len(numbers) == len(context.duplicates) // 2
    assert all(len(set(found)) == 1 for found in numbers.values()), numbers


@behave.when("one idempotency key is used for two different bookings")
def step_reused(context):
    node = context.cluster.nodes[0]
    assert send_booking(context, node).status == 200
    context.answer = send_booking(context, node, body=b'{"mats": 7}')


@behave.given(
    "two catalogue servers, one of which disconnects before every answer"
)
def step_two_servers(context):
    domain = context.cluster.domains[0].name
    context.cluster.add_service("catalogue-2", domain, "catalogue")
    context.cluster.services["catalogue-1"].cut_before_answer = True
    cluster_module.wait_for(
        lambda: any(
            vm["name"] == "catalogue-2"
            for vm in context.cluster.nodes[0]
            .admin()
            .call("GET", "/vms")["vms"]
        ),
        "the node to list the second server",
    )


@behave.when("{count:d} searches are sent")
def step_searches(context, count):
    context.searches = [
        context.caller.call_service("catalogue", f"search?q={i}", method="GET")
        for i in range(count)
    ]


@behave.then("every search is answered")
def step_searches_answered(context):
    statuses = [answer.status for answer in context.searches]
    assert statuses == [200] * len(statuses), statuses
    cut = context.cluster.services["catalogue-1"]
    assert cut.received, "the failing server received no request"
