"""What a change of each key does; the narrowest of two documents is a meet."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limenotch.fleet.rules import change_classification
from limenotch.fleet.rules import document as doc

NO_REQUIRED_KEYS: dict[Any, st.SearchStrategy[Any]] = {}
FIELDS: dict[Any, st.SearchStrategy[Any]] = {
    "effect": st.sampled_from(("at_most_once", "deduplicated", "idempotent")),
    "dedup_scope": st.sampled_from(("cell", "zone", "all")),
    "window_ms": st.sampled_from((0, 500, 1000)),
    "worth": st.sampled_from((1, 2)),
    "unheard_of": st.booleans(),
}
CLASSES = st.fixed_dictionaries(NO_REQUIRED_KEYS, optional=FIELDS)
DOCUMENTS = st.fixed_dictionaries(
    {
        "settings": st.fixed_dictionaries(
            {  # type: ignore[misc]
                "classes": st.dictionaries(st.sampled_from("ab"), CLASSES),
                "tenants": st.dictionaries(
                    st.sampled_from("tu"),
                    st.fixed_dictionaries(NO_REQUIRED_KEYS, optional={"quota_per_s": st.sampled_from((0, 5, 10))}),
                ),
                "permissions": st.fixed_dictionaries(
                    NO_REQUIRED_KEYS,
                    optional={
                        "max_attempts": st.integers(1, 4),
                        "parallel_tries": st.booleans(),
                        "max_open": st.sampled_from((10, 20)),
                    },
                ),
                "rules": st.fixed_dictionaries(NO_REQUIRED_KEYS, optional={"cold_ms": st.sampled_from((0, 10, 20))}),
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
FLAT_DOCUMENTS = DOCUMENTS.map(doc.flatten)


@settings(max_examples=150, deadline=None)
@given(FLAT_DOCUMENTS, FLAT_DOCUMENTS, FLAT_DOCUMENTS)
def test_meet_is_a_lower_bound(
    first: change_classification.FlatDocument,
    second: change_classification.FlatDocument,
    third: change_classification.FlatDocument,
) -> None:
    both = change_classification.meet(first, second)
    assert both == change_classification.meet(second, first)
    assert change_classification.meet(first, first) == first
    assert change_classification.meet(both, third) == change_classification.meet(
        first, change_classification.meet(second, third)
    )
    assert change_classification.is_no_wider(both, first)
    assert change_classification.is_no_wider(both, second)


@settings(max_examples=100, deadline=None)
@given(FLAT_DOCUMENTS, FLAT_DOCUMENTS, FLAT_DOCUMENTS)
def test_in_force_is_no_wider_than_any_version_and_switches_with_the_active_one(
    active: change_classification.FlatDocument,
    first: change_classification.FlatDocument,
    second: change_classification.FlatDocument,
) -> None:
    effective = change_classification.in_force(active, [first, second])
    assert all(change_classification.is_no_wider(effective, flat) for flat in (active, first, second))
    assert effective.get(("directory",)) == active.get(("directory",))
    restricted = change_classification.without_lease(effective)
    assert change_classification.is_no_wider(restricted, effective)
    assert not any(value for path, value in restricted.items() if path[-1] == "repeat")


@settings(max_examples=100, deadline=None)
@given(DOCUMENTS)
def test_a_document_comes_back_from_its_flat_form(document: Any) -> None:
    flat = doc.flatten(document)
    restored = doc.unflatten(flat, document)
    assert doc.flatten(restored) == flat
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
    ("change", "expected"),
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
def test_classification_of_changes(change: dict[str, Any], expected: str) -> None:
    differences = change_classification.diff(doc.flatten(base()), doc.flatten(doc.merge(base(), change)))
    assert ", ".join(f"{change_classification.dotted_path(path)} {effect}" for path, effect in differences) == expected


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
def test_an_error_names_the_key_of_a_wrong_shape(change: dict[str, Any], key: str) -> None:
    with pytest.raises(ValueError, match=key):
        doc.flatten(doc.merge(base(), change))


def test_a_canary_trial_may_change_only_harmless_keys_and_narrow_limits() -> None:
    def rejection(change: dict[str, Any]) -> str | None:
        return change_classification.canary_rejection(doc.flatten(base()), doc.flatten(doc.merge(base(), change)))

    assert rejection({"settings": {"classes": {"pay": {"worth": 3}}, "permissions": {"max_attempts": 2}}}) is None
    assert "max_attempts" in str(rejection({"settings": {"permissions": {"max_attempts": 4}}}))
    assert "pay.repeat" in str(rejection({"settings": {"classes": {"pay": {"effect": "at_most_once"}}}}))
    assert "odd" in str(rejection({"settings": {"permissions": {"odd": 3}}}))
