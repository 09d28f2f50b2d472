"""Selection of the executor that gets the next request."""


def choose_executor(names, directory, health, zone, random):
    """Return the less loaded of two random executors, None if none is eligible.

    Executors in the gateway's own availability zone are preferred.

    Parameters
    ----------
    names : iterable of str
        Executors with an idle permit that the request has not tried yet.
    directory : ExecutorDirectory
    health : ExecutorHealth
    zone : str
        Zone of the gateway.
    random : random.Random
    """
    names = [
        name for name in names if directory.is_usable(name) and health.is_admitted(name)
    ]
    if not names:
        return None
    same_zone = [name for name in names if directory.get(name).zone == zone]
    names = same_zone or names
    if len(names) > 2:
        names = random.sample(names, 2)
    return min(names, key=health.count_outstanding)
