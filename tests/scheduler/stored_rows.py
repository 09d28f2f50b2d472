"""Changes of stored rows behind the back of a cell's members."""


def replace_row(cell, key, value):
    """Replace the value of a row as a transaction of another program would."""
    store = cell.table.store
    store.version += 1
    row = store.rows[key]
    store.rows[key] = row.model_copy(update={"value": value, "version": store.version})


def change_row(cell, key, **fields):
    """Replace some fields of a row."""
    replace_row(cell, key, cell.table.store.rows[key].value | fields)


async def restart_all(cell):
    """Restart all schedulers and wait until every home is recovered."""
    for daemon in cell.daemons:
        await daemon.kill()
    for daemon in cell.daemons:
        daemon.start()
    await cell.wait_for(lambda: len(list_homes(cell)) == 32)


def list_homes(cell):
    """Return the recovered homes of the running daemons by partition."""
    return {
        name: home
        for daemon in cell.daemons
        if daemon.is_running
        for name, home in daemon.incarnation.partitions.homes.items()
        if home.is_recovered
    }


def find_session(cell, worker):
    """Return a worker's session at the owner of its shard, None without one."""
    for daemon in cell.daemons:
        if daemon.is_running:
            for shard in daemon.incarnation.partitions.shards.values():
                if worker in shard.sessions:
                    return shard.sessions[worker]
    return None
