"""When callers that were refused should come back."""

from .ordering import find_chain_ms

# Soonest return: a takeover or a full transaction queue is over by then.
LEAST_SECONDS = 1
# Callers try about five times. Work with a short objective is of no use much later;
# other callers reach over an outage of 8 s, as long as outages are expected to be.
MOST_URGENT_SECONDS = 2
MOST_SECONDS = 3
# Objectives below this are short.
URGENT_OBJECTIVE_SECONDS = 4.0


def choose_retry_seconds(spec, away_seconds):
    """Return the whole seconds after which a refused job may be handed in again.

    The longer the store has been away, the longer it may stay away, and a caller's
    tries are few: the pause grows with the outage.

    Parameters
    ----------
    spec : JobSpec
    away_seconds : float
        How long the store has not answered; 0 while it does.
    """
    rules = spec.rules
    objective = rules.slack_factor * find_chain_ms(spec) + rules.objective_ms
    is_urgent = objective / 1000 < URGENT_OBJECTIVE_SECONDS
    most = MOST_URGENT_SECONDS if is_urgent else MOST_SECONDS
    return max(LEAST_SECONDS, min(most, round(away_seconds)))
