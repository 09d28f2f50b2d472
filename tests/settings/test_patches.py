import json

from hypothesis import given
from hypothesis import strategies as st

from cactustiller.settings import apply_patch, make_patch

SCALARS = (
    st.booleans() | st.integers(-3, 3) | st.floats(0, 2) | st.text("ab", max_size=2)
)
NAMES = st.text("xyz", min_size=1, max_size=2)
TREES = st.recursive(
    SCALARS, lambda inner: st.dictionaries(NAMES, inner, max_size=3), max_leaves=12
)


@given(
    old=st.dictionaries(NAMES, TREES, max_size=3),
    new=st.dictionaries(NAMES, TREES, max_size=3),
)
def test_patch_turns_the_old_text_into_the_new(old, new):
    old_text, new_text = json.dumps(old), json.dumps(new)
    patched = json.loads(apply_patch(old_text, make_patch(old_text, new_text)))
    assert json.dumps(patched, sort_keys=True) == json.dumps(new, sort_keys=True)


def test_patch_of_one_value_is_small():
    old = {f"team{n}": {"values": {"limit": n}} for n in range(300)}
    new = json.loads(json.dumps(old))
    new["team7"]["values"]["limit"] = 70
    patch = make_patch(json.dumps(old), json.dumps(new))
    assert json.loads(patch) == {"team7": {"values": {"limit": 70}}}
