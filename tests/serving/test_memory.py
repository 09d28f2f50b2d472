"""Tests of which request gives way, by a state machine."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cactustiller.serving import RefusalReason, RequestMemory

from .builders import Holder

CAPACITY = 100


class MemoryMachine(RuleBasedStateMachine):
    """Requests begin, grow, are handled and end in any order."""

    def __init__(self):
        super().__init__()
        self.memory = RequestMemory(CAPACITY)
        self.receiving, self.handling = {}, {}

    @rule(size=st.integers(1, 150))
    def begin(self, size):
        self.receive(Holder(self.on_drop), size)

    @precondition(lambda self: self.receiving)
    @rule(size=st.integers(1, 150), data=st.data())
    def grow(self, size, data):
        holder = data.draw(st.sampled_from(list(self.receiving)))
        self.receive(holder, max(size, self.receiving[holder]))

    @precondition(lambda self: self.receiving)
    @rule(size=st.integers(1, 150), data=st.data())
    def complete(self, size, data):
        holder = data.draw(st.sampled_from(list(self.receiving)))
        del self.receiving[holder]
        if self.memory.handle(holder, size):
            self.handling[holder] = size
        else:
            assert not self.receiving
            assert sum(self.handling.values()) + size > CAPACITY

    @precondition(lambda self: self.handling)
    @rule(data=st.data())
    def finish(self, data):
        holder = data.draw(st.sampled_from(list(self.handling)))
        del self.handling[holder]
        self.memory.release(holder)

    def receive(self, holder, size):
        self.receiving[holder] = size
        if not self.memory.receive(holder, size):
            assert next(iter(self.receiving)) is holder
            del self.receiving[holder]

    def on_drop(self, holder):
        # The request that began first gives way, and none that a handler has.
        assert next(iter(self.receiving)) is holder
        assert holder.reasons == [RefusalReason.MEMORY_FULL]
        del self.receiving[holder]
        self.memory.release(holder)

    @invariant()
    def accounts_are_right(self):
        used = sum(self.receiving.values()) + sum(self.handling.values())
        assert self.memory.used_bytes == used <= CAPACITY


TestMemory = MemoryMachine.TestCase


def test_small_request_passes_beside_requests_that_do_not_end():
    memory = RequestMemory(CAPACITY)
    crowd = [Holder(memory.release) for _ in range(50)]
    for holder in crowd:
        memory.receive(holder, 10)
    caller = Holder()
    assert memory.receive(caller, 2)
    assert memory.handle(caller, 30)
    assert not caller.reasons
    assert [bool(holder.reasons) for holder in crowd] == [True] * 43 + [False] * 7
