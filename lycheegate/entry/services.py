"""Interface between the operators' HTTP application and the entry daemon, and its views.

Views of the whole deployment are collected from all entry VMs. Their field ``missing`` names the
entry VMs that did not reply, so that an operator can see that a view is incomplete.
"""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

import msgspec
from returns import result

from lycheegate.clients import table
from lycheegate.model import releases
from lycheegate.settings import models

__all__ = [
    "AccountUsage",
    "GuaranteeUsage",
    "HistogramsView",
    "JobView",
    "JobsView",
    "NoMajority",
    "OperatorServices",
    "PartitionView",
    "StatusView",
    "UnknownVm",
    "UsageView",
    "VmView",
    "WorkerView",
]


@dataclasses.dataclass(frozen=True, slots=True)
class NoMajority:
    """Failure to have a release acknowledged by a majority of members; nothing was written.

    Attributes:
        acknowledged: Number of members that acknowledged it, including this VM.
        needed: Number of members that a majority needs.
        missing: Identifiers of the members that did not acknowledge it.
    """

    acknowledged: int
    needed: int
    missing: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownVm:
    """Failure to find a member by its identifier.

    Attributes:
        vm_id: Identifier that was looked up.
        known: Identifiers of the known members.
    """

    vm_id: str
    known: tuple[str, ...] = ()


class WorkerView(msgspec.Struct, frozen=True, kw_only=True):
    """A worker as known to this entry VM.

    Attributes:
        state: ``live``, ``leaving``, ``lost`` or ``quarantined``.
        reason: Why it is not live; empty if it is live.
    """

    worker_id: str
    endpoint: str
    region: str
    data_centre: str
    rack: str
    slots: int
    accelerators: int
    state: str = "live"
    partition: str = ""
    running: int = 0
    used_accelerators: int = 0
    reason: str = ""


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """A request that has not ended.

    Attributes:
        state: ``queued``, ``held``, ``running`` or ``stopping``.
        age_s: Time since it was accepted.
        workers: Workers that its members are placed on.
        reason: Why it is waiting, if it is.
    """

    request_id: str
    client_account: str
    caller: str
    job_class: str
    urgency: str
    state: str
    age_s: float
    members: int = 1
    accelerators: int = 0
    workers: tuple[str, ...] = ()
    reason: str = ""


class JobsView(msgspec.Struct, frozen=True, kw_only=True):
    """Jobs of all partitions, oldest first."""

    jobs: tuple[JobView, ...] = ()
    missing: tuple[str, ...] = ()


class GuaranteeUsage(msgspec.Struct, frozen=True, kw_only=True):
    """State of a guarantee.

    Attributes:
        in_use: Number of units that the client account currently uses.
        short: Number of units without a home.
        reason: Why these units have no home.
    """

    name: str
    in_use: int = 0
    short: int = 0
    reason: str = ""


class AccountUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Current usage of a client account."""

    client_account: str
    used_accelerators: int = 0
    running: int = 0
    queued: int = 0
    guarantees: tuple[GuaranteeUsage, ...] = ()


class UsageView(msgspec.Struct, frozen=True, kw_only=True):
    """Usage of all client accounts."""

    accounts: tuple[AccountUsage, ...] = ()
    missing: tuple[str, ...] = ()


class PartitionView(msgspec.Struct, frozen=True, kw_only=True):
    """A partition and its owner; ``owner`` is empty if there is none."""

    partition: str
    owner: str = ""
    epoch: int = 0
    workers: int = 0
    queued: int = 0
    running: int = 0


class VmView(msgspec.Struct, frozen=True, kw_only=True):
    """An entry VM as seen from the one that replies.

    Attributes:
        release: Number of the release in force there.
        table_ok_age_s: Time since its last successful use of the table, or None if unknown.
        heartbeat_age_s: Time since its last heartbeat; 0 for the VM that replies.
    """

    vm_id: str
    data_centre: str = ""
    ready: bool = False
    draining: bool = False
    release: int = 0
    table_ok_age_s: float | None = None
    heartbeat_age_s: float | None = None


class StatusView(msgspec.Struct, frozen=True, kw_only=True):
    """State of the deployment as seen from one entry VM."""

    vm_id: str
    release: int
    vms: tuple[VmView, ...] = ()
    partitions: tuple[PartitionView, ...] = ()
    missing: tuple[str, ...] = ()


class HistogramsView(msgspec.Struct, frozen=True, kw_only=True):
    """Histograms merged over entry VMs, as encoded by ``lycheegate.metrics.histograms``."""

    histograms: dict
    missing: tuple[str, ...] = ()


class OperatorServices(Protocol):
    """Operations of the entry daemon for operators; called from several threads."""

    def get_settings(self) -> models.EntrySettings:
        """Returns the settings that the daemon runs with."""

    def get_release(self) -> releases.Release:
        """Returns the release in force at this entry VM."""

    def get_table(self) -> table.Table:
        """Returns the table service."""

    def list_workers(self) -> Sequence[WorkerView]:
        """Returns all workers, sorted by identifier."""

    def prepare_release(self, release: releases.Release) -> result.Result[int, NoMajority]:
        """Asks the members to acknowledge a release, before it is written; needs a majority.

        Returns:
            The number of members that acknowledged it, including this VM.
        """

    def announce_release(self, release: releases.Release) -> None:
        """Adopts an accepted release and pushes it to the peers, without waiting for them."""

    def list_jobs(self) -> JobsView:
        """Returns the jobs of all partitions that have not ended."""

    def list_usage(self) -> UsageView:
        """Returns the usage of each client account."""

    def get_status(self) -> StatusView:
        """Returns the state of the deployment."""

    def read_histograms(self) -> HistogramsView:
        """Returns the histograms of all entry VMs, merged."""

    def start_drain(self, vm_id: str) -> result.Result[None, UnknownVm]:
        """Starts the drain of this entry VM or, over its peer link, of another one."""
