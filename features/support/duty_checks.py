"""Checks on what holders of a lease did."""


def check_no_alternation(actions, ttl_s, seed):
    """Check that no holder acts before and after another one within the time.

    Args:
        actions: Time and holder of each action, in order.
        ttl_s: Time to live of the lease.
        seed: Shown if the check fails.
    """
    for index, (at_s, name) in enumerate(actions):
        has_other_acted = False
        for later_s, later in actions[index + 1 :]:
            if later_s - at_s > ttl_s:
                break
            if later != name:
                has_other_acted = True
            elif has_other_acted:
                raise AssertionError((seed, at_s, later_s))
