"""One term of ownership: state machine, calls, storage and election."""
