"""What a change of each key does; the narrowest of two is a meet."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limenotch.fleet.rules import change_classification
from limenotch.fleet.rules import document as doc

NONE: dict[Any, st.SearchStrategy[Any]] = {}
FIELDS: dict[Any, st.SearchStrategy[Any]] = {
    "effect": st.sampled_from(("at_most_once", "deduplicated", "idempotent")),
    "dedup_scope": st.sampled_from(("cell", "zone", "all")),
    "window_ms": st.sampled_from((0, 500, 1000)),
    "worth": st.sampled_from((1, 2)),
    "unheard_of": st.booleans(),
}
CLASS = st.fixed_dictionaries(NONE, optional=FIELDS)
DOCUMENT = st.fixed_dictionaries(
    {
        "settings": st.fixed_dictionaries(
            {  # type: ignore[misc]
                "classes": st.dictionaries(st.sampled_from("ab"), CLASS),
                "tenants": st.dictionaries(
                    st.sampled_from("tu"),
                    st.fixed_dictionaries(NONE, optional={"quota_per_s": st.sampled_from((0, 5, 10))}),
                ),
                "permissions": st.fixed_dictionaries(
                    NONE,
                    optional={
                        "max_attempts": st.integers(1, 4),
                        "parallel_tries": st.booleans(),
                        "max_open": st.sampled_from((10, 20)),
                    },
                ),
                "rules": st.fixed_dictionaries(NONE, optional={"cold_ms": st.sampled_from((0, 10, 20))}),
            }
        )
    },
    optional={
        "bans": st.dictionaries(
            st.sampled_from("xy"), st.fixed_dictionaries({"out": st.booleans(), "at_ms": st.sampled_from((0, 7))})
        ),
        "directory": st.sampled_from(("127.0.0.1:1", "127.0.0.1:2")),
    },
)
FLAT = DOCUMENT.map(doc.flatten)


@settings(max_examples=150, deadline=None)
@given(FLAT, FLAT, FLAT)
def test_the_narrowest_is_a_meet(
    one: change_classification.Flat, two: change_classification.Flat, three: change_classification.Flat
) -> None:
    both = change_classification.meet(one, two)
    assert both == change_classification.meet(two, one)
    assert change_classification.meet(one, one) == one
    assert change_classification.meet(both, three) == change_classification.meet(
        one, change_classification.meet(two, three)
    )
    assert change_classification.no_wider(both, one)
    assert change_classification.no_wider(both, two)


@settings(max_examples=100, deadline=None)
@given(FLAT, FLAT, FLAT)
def test_in_force_is_no_wider_than_any_and_switches_with_the_active(
    active: change_classification.Flat, one: change_classification.Flat, two: change_classification.Flat
) -> None:
    held = change_classification.in_force(active, [one, two])
    assert all(change_classification.no_wider(held, flat) for flat in (active, one, two))
    assert held.get(("directory",)) == active.get(("directory",))
    narrow = change_classification.without_lease(held)
    assert change_classification.no_wider(narrow, held)
    assert not any(value for path, value in narrow.items() if path[-1] == "repeat")


@settings(max_examples=100, deadline=None)
@given(DOCUMENT)
def test_a_document_comes_back_from_its_flat_form(document: Any) -> None:
    flat = doc.flatten(document)
    again = doc.unflatten(flat, document)
    assert doc.flatten(again) == flat
    assert doc.flatten(doc.merge(document, {})) == flat


def base() -> dict[str, Any]:
    return {
        "settings": {
            "classes": [{"name": "pay", "effect": "deduplicated", "dedup_scope": "zone", "window_ms": 9}],
            "permissions": {"max_attempts": 3, "odd": 1},
        },
        "directory": "127.0.0.1:1",
    }


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"settings": {"classes": {"pay": {"dedup_scope": "all"}}}}, "settings.classes.pay.repeat widens"),
        ({"settings": {"classes": {"pay": {"dedup_scope": "cell"}}}}, "settings.classes.pay.repeat narrows"),
        ({"settings": {"classes": {"pay": {"window_ms": 8}}}}, "settings.classes.pay.window_ms narrows"),
        ({"settings": {"classes": {"pay": {"worth": 8}}}}, "settings.classes.pay.worth switches"),
        ({"settings": {"classes": {"pay": None}}}, "settings.classes.pay narrows"),
        ({"settings": {"tenants": {"t": {"quota_per_s": 1}}}}, "settings.tenants.t widens"),
        ({"settings": {"permissions": {"max_attempts": None}}}, ""),
        ({"settings": {"permissions": {"parallel_tries": False}}}, "settings.permissions.parallel_tries narrows"),
        ({"settings": {"permissions": {"odd": 2}}}, "settings.permissions.odd switches"),
        ({"settings": {"rules": {"cold_ms": 5}}}, "settings.rules.cold_ms narrows"),
        ({"bans": {"u": {"out": True}}}, "bans.u narrows"),
        ({"directory": "127.0.0.1:2"}, "directory switches"),
    ],
)
def test_what_a_change_does(change: dict[str, Any], word: str) -> None:
    found = change_classification.diff(doc.flatten(base()), doc.flatten(doc.merge(base(), change)))
    assert ", ".join(f"{change_classification.text_of(path)} {one}" for path, one in found) == word


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"settings": {"rank": 1}}, "settings.rank"),
        ({"settings": {"permissions": {"max_attempts": "x"}}}, "settings.permissions.max_attempts"),
        ({"settings": {"permissions": {"parallel_tries": 1}}}, "settings.permissions.parallel_tries"),
        ({"settings": {"classes": {"pay": 1}}}, "settings.classes.pay"),
        ({"settings": {"classes": [{"effect": "idempotent"}]}}, "settings.classes"),
        ({"bans": {"u": True}}, "bans.u"),
        ({"other": 1}, "other"),
    ],
)
def test_a_wrong_shape_is_told_by_its_key(change: dict[str, Any], key: str) -> None:
    with pytest.raises(ValueError, match=key):
        doc.flatten(doc.merge(base(), change))


def test_a_canary_carries_harmless_keys_and_narrower_limits_alone() -> None:
    def refused(change: dict[str, Any]) -> str | None:
        return change_classification.canary_refuses(doc.flatten(base()), doc.flatten(doc.merge(base(), change)))

    assert refused({"settings": {"classes": {"pay": {"worth": 3}}, "permissions": {"max_attempts": 2}}}) is None
    assert "max_attempts" in str(refused({"settings": {"permissions": {"max_attempts": 4}}}))
    assert "pay.repeat" in str(refused({"settings": {"classes": {"pay": {"effect": "at_most_once"}}}}))
    assert "odd" in str(refused({"settings": {"permissions": {"odd": 3}}}))
