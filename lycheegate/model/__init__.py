"""Domain model: resources, requests and releases."""

from lycheegate.model.releases import Caller, ClientAccount, Guarantee, Release
from lycheegate.model.requests import End, Outcome, Request, Urgency
from lycheegate.model.resources import Adjacency, MemberPlacement, Placement, Shape, Worker

__all__ = [
    "Adjacency",
    "Caller",
    "ClientAccount",
    "End",
    "Guarantee",
    "MemberPlacement",
    "Outcome",
    "Placement",
    "Release",
    "Request",
    "Shape",
    "Urgency",
    "Worker",
]
