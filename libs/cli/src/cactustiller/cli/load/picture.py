"""Picture of a finished load; needs the optional extra ``plots``."""

from .outcomes import Result

REMEDY = (
    "--picture needs matplotlib: install it with the extra, "
    "pip install 'cactustiller-cli[plots]'"
)
SHOWN_TEAMS = 8
SIZE_INCHES = (11, 11)
BESIDE = {"loc": "upper left", "bbox_to_anchor": (1.0, 1.0), "fontsize": "small"}


class PictureError(Exception):
    """A picture cannot be drawn; the text names the remedy."""


def load_pyplot():
    """Return ``matplotlib.pyplot``; raises `PictureError` where it is absent."""
    try:
        import matplotlib
    except ImportError as error:
        raise PictureError(REMEDY) from error
    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot


def draw_picture(path, workload, replay):
    """Write waiting times, running tasks and shares over time to an image file."""
    pyplot = load_pyplot()
    figure, axes = pyplot.subplots(3, 1, figsize=SIZE_INCHES, layout="constrained")
    figure.suptitle(f"{workload.name}, seed {workload.seed}")
    _draw_waits(axes[0], replay.tracked)
    teams = _list_largest(replay.moments)
    _draw_running(axes[1], replay.moments, teams)
    _draw_distances(axes[2], replay.moments, teams)
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise PictureError(f"picture {path}: {error}") from error
    finally:
        pyplot.close(figure)


def _draw_waits(axes, tracked):
    by_load = {}
    for item in tracked:
        wait = item.first_start_seconds
        if not hasattr(item.arrival.load, "name"):
            done = item.result is Result.SUCCEEDED
            wait = item.answered_seconds if done else None
        if wait is not None:
            load = item.arrival.load
            name = getattr(load, "name", None) or f"requests to {load.service}"
            by_load.setdefault(name, []).append(max(wait, 1e-3))
    for name, waits in sorted(by_load.items()):
        waits.sort()
        parts = [(rank + 1) / len(waits) for rank in range(len(waits))]
        axes.step(waits, parts, where="post", label=f"{name} ({len(waits)})")
    axes.set_xscale("log")
    axes.set_xlabel("seconds from due to first start, of requests to the answer")
    axes.set_ylabel("part of the arrivals")
    axes.set_title("Waiting time")
    if by_load:
        axes.legend(**BESIDE)


def _list_largest(moments):
    largest = {}
    for moment in moments:
        for name, team in moment.teams.items():
            largest[name] = max(largest.get(name, 0), team["running"])
    return sorted(largest, key=lambda name: -largest[name])[:SHOWN_TEAMS]


def _draw_running(axes, moments, teams):
    times = [moment.at for moment in moments]
    rows = [_list_values(moments, team, "running") for team in teams]
    others = [
        sum(team["running"] for name, team in moment.teams.items() if name not in teams)
        for moment in moments
    ]
    axes.stackplot(times, *rows, others, labels=[*teams, "other teams"])
    axes.set_title("Running tasks by team")
    axes.set_xlabel("seconds")
    axes.set_ylabel("tasks")
    axes.legend(**BESIDE)


def _draw_distances(axes, moments, teams):
    times = [moment.at for moment in moments]
    for team in teams:
        values = [100 * value for value in _list_values(moments, team, "distance")]
        axes.plot(times, values, label=team)
    axes.axhline(0, color="black", linewidth=0.8)
    axes.set_title("Distance of each team from its share")
    axes.set_xlabel("seconds")
    axes.set_ylabel("percent of all use")


def _list_values(moments, team, name):
    return [moment.teams.get(team, {}).get(name, 0) for moment in moments]
