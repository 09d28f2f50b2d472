"""Max-min fair shares of a pool's slots."""


def find_fair_share(wanted, available):
    """Return the max-min fair share, or 0 if the demands fit without a limit.

    A demand below the share is met in full; each other one gets the share, which is
    at least 1.

    Parameters
    ----------
    wanted : list of int
        Demand of each gateway in slots.
    available : int
        Number of slots.
    """
    if sum(wanted) <= available:
        return 0
    rest = available
    ascending = sorted(wanted)
    for position, count in enumerate(ascending):
        level = rest // (len(ascending) - position)
        if count >= level:
            return max(1, level)
        rest -= count
    return 0
