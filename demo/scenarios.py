"""Deployments of the demo: VMs, job classes, release notes and loads."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from demo import deployment

__all__ = ["SCENARIOS", "Load", "Scenario", "make_release_note"]


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests of one caller and class.

    Attributes:
        client_account: Client account of the caller.
        caller: Name of the caller.
        job_class: Class of the requests.
        count: Number of requests.
        run_s: Run time of each request.
        interval_s: Time between submissions; with 0, each request is submitted when the previous
            one has ended.
        guaranteed: Whether the requests are within a guarantee and must complete in time.
    """

    client_account: str
    caller: str
    job_class: str
    count: int
    run_s: float
    interval_s: float
    guaranteed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Deployment and the load that is sent to it.

    Attributes:
        name: Name of the deployment.
        entries: Locations of the entry VMs, by identifier.
        workers: Locations of the workers, by identifier.
        job_classes: Settings of the job classes, by name.
        policy: Settings of the scheduling policy.
        accounts: Client accounts in the form of a release note.
        guarantees: Guarantees in the form of a release note.
        loads: Requests to send.
    """

    name: str
    entries: Mapping[str, deployment.Place]
    workers: Mapping[str, deployment.Place]
    job_classes: Mapping[str, Any]
    policy: Mapping[str, Any]
    accounts: tuple[Mapping[str, Any], ...]
    guarantees: tuple[Mapping[str, Any], ...]
    loads: tuple[Load, ...]


def _make_places(region: str, data_centres: tuple[str, ...], workers_each: int):
    entries = {f"entry-{name}": deployment.Place(region, name) for name in data_centres}
    workers = {
        f"{name}-{number}": deployment.Place(region, name, f"{name}-rack")
        for name in data_centres
        for number in range(workers_each)
    }
    return entries, workers


def make_release_note(scenario: Scenario, hashes: Mapping[str, str]) -> dict[str, Any]:
    """Returns the first release note of a deployment."""
    accounts = {load.caller: load.client_account for load in scenario.loads}
    return {
        "base": 0,
        "note": f"Set up {scenario.name}",
        "client_accounts": {"added": list(scenario.accounts)},
        "guarantees": {"added": list(scenario.guarantees)},
        "callers": {
            "added": [
                {
                    "name": caller,
                    "client_account": account,
                    "brand_desk": f"{account}-desk",
                    "token_hash": hashes[caller],
                }
                for caller, account in accounts.items()
            ]
        },
    }


_AGENCY_ENTRIES, _AGENCY_WORKERS = _make_places(
    "capital", ("suwon", "seongnam", "goyang", "bucheon"), 6
)
_GLENMARA_ENTRIES, _GLENMARA_WORKERS = _make_places("leinster", ("dublin", "wicklow", "kildare"), 8)

SCENARIOS = (
    Scenario(
        "agency",
        _AGENCY_ENTRIES,
        _AGENCY_WORKERS,
        {
            "hero-shot": {
                "idempotent": True,
                "preemptible": True,
                "shape": {"members": 2, "accelerators": 8, "adjacency": "rack"},
            },
            "preview": {"urgency": "urgent", "idempotent": True, "shape": {"accelerators": 1}},
            "cleanup": {"urgency": "batch", "idempotent": False, "shape": {"accelerators": 1}},
        },
        {"completion_weight": 0.8, "fragmentation_weight": 0.2, "preemption_grace_s": 1.0},
        (
            {"name": "hanbok-studio", "weight": 2},
            {"name": "denim-label", "quota_accelerators": 48},
            {"name": "catalogue-house", "quota_accelerators": 48},
            {"name": "street-label"},
        ),
        (
            {
                "client_account": "hanbok-studio",
                "name": "hero-block",
                "members": 2,
                "accelerators": 8,
                "adjacency": "rack",
                "count": 1,
                "data_centre": "suwon",
            },
        ),
        (
            Load("hanbok-studio", "retoucher", "hero-shot", 6, 0.8, 0.0, guaranteed=True),
            Load("denim-label", "denim-retoucher", "hero-shot", 4, 2.0, 1.0),
            Load("hanbok-studio", "stylist", "preview", 60, 0.1, 0.12),
            Load("street-label", "street-stylist", "preview", 60, 0.1, 0.12),
            Load("catalogue-house", "catalogue-desk", "cleanup", 80, 0.8, 0.08),
        ),
    ),
    Scenario(
        "glenmara",
        _GLENMARA_ENTRIES,
        _GLENMARA_WORKERS,
        {
            "match": {"urgency": "urgent", "idempotent": False, "shape": {"accelerators": 1}},
            "shift-check": {"urgency": "urgent", "idempotent": True},
            "rebuild": {
                "idempotent": True,
                "preemptible": True,
                "shape": {"members": 2, "accelerators": 8, "adjacency": "rack"},
            },
            "refresh": {
                "urgency": "batch",
                "idempotent": True,
                "preemptible": True,
                "shape": {"accelerators": 2},
            },
        },
        {"completion_weight": 0.2, "fragmentation_weight": 0.8, "preemption_grace_s": 1.0},
        (
            {"name": "tidy-homes", "weight": 2},
            {"name": "bright-rooms"},
            {"name": "harbour-cleaners"},
            {"name": "glen-office", "quota_accelerators": 48},
        ),
        (
            {
                "client_account": "tidy-homes",
                "name": "roster-block",
                "members": 2,
                "accelerators": 8,
                "adjacency": "rack",
                "count": 1,
                "data_centre": "dublin",
            },
        ),
        (
            Load("tidy-homes", "tidy-office", "rebuild", 6, 0.8, 0.0, guaranteed=True),
            Load("glen-office", "glen-planner", "refresh", 60, 0.8, 0.1),
            Load("bright-rooms", "bright-client", "match", 70, 0.2, 0.1),
            Load("tidy-homes", "tidy-client", "match", 70, 0.2, 0.1),
            Load("harbour-cleaners", "harbour-cleaner", "shift-check", 60, 0.05, 0.12),
        ),
    ),
)
