"""Commands by name, one module a family."""

from . import (
    check_config,
    instances,
    interference,
    jobs,
    key,
    load,
    queue,
    requests,
    settings,
    stats,
    team,
    trace,
    zones,
)

GROUPS = {
    "team": team.app,
    "key": key.app,
    "queue": queue.app,
    "settings": settings.app,
}

COMMANDS = {
    "submit": jobs.submit,
    "status": jobs.show_status,
    "explain": jobs.explain,
    "cancel": jobs.cancel,
    "request": requests.send_request,
    "instances": instances.list_instances,
    "drain": instances.drain,
    "evacuate": zones.evacuate,
    "restore": zones.restore,
    "zones": zones.list_zones,
    "load": load.run_load,
    "stats": stats.show_stats,
    "trace": trace.trace,
    "interference": interference.list_pairs,
    "check-config": check_config.check_config,
}


def register_commands(app):
    """Add every command to the typer `app`."""
    for name, group in GROUPS.items():
        app.add_typer(group, name=name)
    for name, command in COMMANDS.items():
        app.command(name)(command)
