"""Shares of slots among gateways when there are not enough for all."""


def find_fair_share(wanted, available):
    """Return the most that one may hold so that all fit, 0 if all fit without.

    Who wants less than the level keeps it; the others get the same, at least 1.

    Parameters
    ----------
    wanted : list of int
    available : int
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
