"""Operations of the daemon for the operators' interface: releases, views and drain."""

import time
import uuid
from collections.abc import Callable, Sequence
from concurrent import futures
from typing import Any

import msgspec
from returns import result

from lycheegate.clients import table as table_module
from lycheegate.entry import owner, partitions, rows, services
from lycheegate.metrics import histograms, logs
from lycheegate.model import releases, requests
from lycheegate.peers import confirmation, membership, messages
from lycheegate.settings import models
from lycheegate.utils import exceptions

__all__ = ["DaemonOperatorServices", "describe_jobs", "describe_usage"]

_log = logs.Log("lycheegate.entry.operating")

PREPARE_TIMEOUT_S = 2.0
"""Time within which a majority must acknowledge a release; below ``confirmation.SETTLE_S``."""

STATUS_TIMEOUT_S = 2.0
"""Time within which peers must reply to a status call."""

MAX_JOBS_PER_VM = 2000
"""Maximum number of jobs that one entry VM reports, so that the reply fits into a frame."""


def describe_jobs(owners: Sequence[owner.PartitionOwner], wall_s: float) -> list[dict[str, Any]]:
    """Returns the jobs of the partitions owned here, oldest first."""
    open_requests = [
        open_request
        for partition_owner in owners
        for open_request in list(partition_owner.open.values())
    ]
    open_requests.sort(key=lambda open_request: open_request.versioned.record.submitted_at)
    return [_describe_job(open_request, wall_s) for open_request in open_requests[:MAX_JOBS_PER_VM]]


def describe_usage(owners: Sequence[owner.PartitionOwner]) -> dict[str, Any]:
    """Returns the usage of client accounts and the short guarantees, for partitions owned here.

    ``accounts`` maps each client account to the numbers of its used accelerators, running requests
    and queued requests. ``short`` lists the client account, name, missing units and reason of each
    short guarantee.
    """
    accounts: dict[str, list[int]] = {}
    for partition_owner in owners:
        for open_request in list(partition_owner.open.values()):
            record = open_request.versioned.record
            counts = accounts.setdefault(record.client_account, [0, 0, 0])
            if open_request.is_started:
                counts[0] += record.members * record.accelerators
                counts[1] += 1
            else:
                counts[2] += 1
    short = [
        [*key, *value]
        for partition_owner in owners
        for key, value in list(partition_owner.short_guarantees.items())
    ]
    return {"accounts": accounts, "short": short}


def _describe_job(open_request: partitions.OpenRequest, wall_s: float) -> dict[str, Any]:
    record = open_request.versioned.record
    state = (
        "running"
        if open_request.is_started
        else "held"
        if open_request.task_placements
        else "queued"
    )
    return {
        "request_id": record.request_id,
        "client_account": record.client_account,
        "caller": record.caller,
        "job_class": record.job_class,
        "urgency": requests.Urgency(record.urgency).name.lower(),
        "state": state,
        "age_s": round(max(0.0, wall_s - record.submitted_at), 3),
        "members": record.members,
        "accelerators": record.accelerators,
        "workers": sorted(
            {place.worker_id for place in list(open_request.task_placements.values())}
        ),
    }


class DaemonOperatorServices:
    """Implements ``services.OperatorServices`` for one daemon."""

    def __init__(self, daemon: Any):
        self._daemon = daemon

    def get_settings(self) -> models.EntrySettings:
        """Returns the settings that the daemon runs with."""
        return self._daemon.settings

    def get_release(self) -> releases.Release:
        """Returns the release in force at this entry VM."""
        return self._daemon.control.release

    def get_table(self) -> table_module.Table:
        """Returns the table service."""
        return self._daemon.platform.table

    def list_workers(self) -> Sequence[services.WorkerView]:
        """Returns all workers, sorted by identifier."""
        daemon, views = self._daemon, []
        for partition, workers in daemon.workers.items():
            owned = daemon.owners.get(partition)
            for worker in workers.values():
                state, reason = "live", ""
                if worker.worker_id in daemon.leaving:
                    state = "leaving"
                if owned is not None and worker.worker_id in owned.quarantined:
                    state, reason = "quarantined", owned.quarantined[worker.worker_id]
                elif owned is not None and worker.worker_id not in owned.live:
                    state, reason = "lost", "does not answer"
                elif owned is not None and worker.worker_id in owned.leaving:
                    state = "leaving"
                views.append(
                    services.WorkerView(
                        worker_id=worker.worker_id,
                        endpoint=worker.endpoint,
                        region=worker.region,
                        data_centre=worker.data_centre,
                        rack=worker.rack,
                        slots=worker.slots,
                        accelerators=worker.accelerators,
                        state=state,
                        partition=partition,
                        reason=reason,
                    )
                )
        return sorted(views, key=lambda view: view.worker_id)

    def prepare_release(self, release: releases.Release) -> result.Result[int, services.NoMajority]:
        """Asks the members to acknowledge a release, before it is written; needs a majority."""
        control = self._daemon.control
        number = release.number
        members = self._read_members()
        needed = len(members) // 2 + 1
        proposal = uuid.uuid4().hex
        own: futures.Future[bool] = futures.Future()
        control.prepare(number, False, own.set_result, proposal)
        pending = {
            vm_id: self._call_peer(
                vm_id,
                lambda call_id: messages.ReleasePrepare(call_id, number, proposal=proposal),
            )
            for vm_id in members - {self._daemon.settings.vm_id}
        }
        deadline_s = time.monotonic() + PREPARE_TIMEOUT_S
        acknowledged = {self._daemon.settings.vm_id} if _wait_for_result(own, deadline_s) else set()
        for vm_id, future in pending.items():
            # Once a majority has acknowledged, only replies that have already arrived are counted.
            reply_deadline_s = deadline_s if len(acknowledged) < needed else 0.0
            reply = _wait_for_result(future, reply_deadline_s)
            if reply is not None and reply.accepted:
                acknowledged.add(vm_id)
        if len(acknowledged) >= needed:
            return result.Success(len(acknowledged))
        self._withdraw(number, proposal, members)
        missing = tuple(sorted(members - acknowledged))
        return result.Failure(services.NoMajority(len(acknowledged), needed, missing))

    def _read_members(self) -> frozenset[str]:
        """Returns the members known here and those in the table.

        An entry VM that has just started may not know all members yet, and a majority of the known
        ones could be smaller than a majority of all.
        """
        known = self._daemon.control.confirmation.members | {self._daemon.settings.vm_id}
        found = self._daemon.platform.table.scan(rows.MEMBERS)
        if isinstance(found, result.Success):
            known |= {row.key for row in found.unwrap()}
        return known

    def announce_release(self, release: releases.Release) -> None:
        """Adopts an accepted release and pushes it to the peers, without waiting for them."""
        self._daemon.control.adopt(release)
        self._daemon.control.push_release(release)

    def list_jobs(self) -> services.JobsView:
        """Returns the jobs of all partitions that have not ended."""
        replies, missing = self._collect_from_all("jobs")
        jobs = [
            msgspec.convert(job, services.JobView) for reply in replies for job in reply["jobs"]
        ]
        jobs.sort(key=lambda job: -job.age_s)
        return services.JobsView(jobs=tuple(jobs), missing=missing)

    def list_usage(self) -> services.UsageView:
        """Returns the usage of each client account."""
        replies, missing = self._collect_from_all("usage")
        totals: dict[str, list[int]] = {}
        short: dict[tuple[str, str], list[Any]] = {}
        for reply in replies:
            for name, counts in reply["accounts"].items():
                found = totals.setdefault(name, [0, 0, 0])
                totals[name] = [a + b for a, b in zip(found, counts, strict=True)]
            for client_account, guarantee, units, reason in reply["short"]:
                short[client_account, guarantee] = [units, reason]
        release = self.get_release()
        views = []
        for name in sorted({*release.client_accounts, *totals}):
            used, running, queued = totals.get(name, [0, 0, 0])
            guarantees = tuple(
                services.GuaranteeUsage(
                    name=key[1],
                    short=short.get(key, [0, ""])[0],
                    reason=short.get(key, [0, ""])[1],
                )
                for key in release.guarantees
                if key[0] == name
            )
            views.append(
                services.AccountUsage(
                    client_account=name,
                    used_accelerators=used,
                    running=running,
                    queued=queued,
                    guarantees=guarantees,
                )
            )
        return services.UsageView(accounts=tuple(views), missing=missing)

    def get_status(self) -> services.StatusView:
        """Returns the state of the deployment."""
        daemon, control = self._daemon, self._daemon.control
        now_s = daemon.clock.monotonic_s()
        state = control.confirmation
        own_age_s = None if state.table_ok_at_s is None else now_s - state.table_ok_at_s
        vms = [
            services.VmView(
                vm_id=daemon.settings.vm_id,
                data_centre=daemon.settings.data_centre,
                ready=not daemon.is_draining
                and control.get_confirmation_status()
                is not confirmation.ConfirmationStatus.UNCONFIRMED,
                draining=daemon.is_draining,
                release=control.release.number,
                table_ok_age_s=own_age_s,
                heartbeat_age_s=0.0,
            )
        ]
        live = membership.list_live(control.membership, now_s)
        missing = []
        for vm_id in sorted({*control.membership.members, *live} - {daemon.settings.vm_id}):
            heartbeat = control.heartbeats.get(vm_id)
            contact = control.membership.contacts.get(vm_id)
            if heartbeat is None or contact is None or vm_id not in live:
                missing.append(vm_id)
            if heartbeat is None or contact is None:
                vms.append(services.VmView(vm_id=vm_id))
                continue
            vms.append(
                services.VmView(
                    vm_id=vm_id,
                    data_centre=heartbeat.data_centre,
                    ready=vm_id in live,
                    draining=heartbeat.draining,
                    release=heartbeat.release,
                    table_ok_age_s=heartbeat.table_ok_age_s,
                    heartbeat_age_s=now_s - contact.heard_at_s,
                )
            )
        return services.StatusView(
            vm_id=daemon.settings.vm_id,
            release=control.release.number,
            vms=tuple(vms),
            partitions=tuple(self._describe_partitions()),
            missing=tuple(missing),
        )

    def read_histograms(self) -> services.HistogramsView:
        """Returns the histograms of all entry VMs, merged."""
        replies, missing = self._collect_from_all("histograms")
        return services.HistogramsView(histograms=histograms.merge(replies), missing=missing)

    def start_drain(self, vm_id: str) -> result.Result[None, services.UnknownVm]:
        """Starts the drain of this entry VM or, over its peer link, of another one."""
        if vm_id == self._daemon.settings.vm_id:
            self._daemon.start_drain()
            return result.Success(None)
        known = {self._daemon.settings.vm_id, *self._daemon.control.membership.members}
        pending_reply = self._call_peer(vm_id, lambda call_id: messages.Status(call_id, "drain"))
        if (
            vm_id in known
            and _wait_for_result(pending_reply, time.monotonic() + STATUS_TIMEOUT_S) is not None
        ):
            return result.Success(None)
        if vm_id in known:
            raise exceptions.UnavailableError(
                f"entry VM {vm_id!r} is disconnected or sent no reply within {STATUS_TIMEOUT_S:g} s"
            )
        return result.Failure(services.UnknownVm(vm_id, tuple(sorted(known))))

    def handle_status(self, subject: str) -> dict[str, Any]:
        """Returns the share of this entry VM in a view, or starts its drain.

        Args:
            subject: ``jobs``, ``usage``, ``histograms`` or ``drain``; ``drain`` gives an
                empty reply.
        """
        owners = list(self._daemon.owners.values())
        match subject:
            case "jobs":
                return {"jobs": describe_jobs(owners, self._daemon.clock.now().timestamp())}
            case "usage":
                return describe_usage(owners)
            case "histograms":
                return self._daemon.histograms.encode()
            case "drain":
                self._daemon.start_drain()
        return {}

    def _describe_partitions(self) -> list[services.PartitionView]:
        control, views = self._daemon.control, []
        loads = control.list_loads()
        for partition in sorted(control.ownership):
            owned_by = control.find_owner(partition) or ("", 0)
            load = loads.get(partition)
            views.append(
                services.PartitionView(
                    partition=partition,
                    owner=owned_by[0],
                    epoch=owned_by[1],
                    workers=len(self._daemon.workers.get(partition, {})),
                    running=load.open_requests if load is not None else 0,
                )
            )
        return views

    def _collect_from_all(self, subject: str) -> tuple[list[dict[str, Any]], tuple[str, ...]]:
        """Collects a view from all entry VMs.

        Returns:
            The parts of the view, and the entry VMs that did not reply in time.
        """
        others = set(self._daemon.control.membership.members) - {self._daemon.settings.vm_id}
        pending = {
            vm_id: self._call_peer(vm_id, lambda call_id: messages.Status(call_id, subject))
            for vm_id in others
        }
        found, missing = [self.handle_status(subject)], []
        deadline_s = time.monotonic() + STATUS_TIMEOUT_S
        for vm_id, future in sorted(pending.items()):
            reply = _wait_for_result(future, deadline_s)
            if reply is None:
                missing.append(vm_id)
            else:
                found.append(reply.value)
        return found, tuple(missing)

    def _call_peer(self, vm_id: str, make: Callable[[str], messages.Message]) -> futures.Future:
        call_id, future = self._daemon.calls.open()
        if not self._daemon.mesh.send(vm_id, make(call_id)):
            self._daemon.calls.discard(call_id)
            future.set_result(None)
        return future

    def _withdraw(self, number: int, proposal: str, members: Sequence[str]) -> None:
        self._daemon.control.prepare(number, True, lambda accepted: None, proposal)
        message = messages.ReleasePrepare("", number, withdrawn=True, proposal=proposal)
        for vm_id in members:
            self._daemon.mesh.send(vm_id, message)


def _wait_for_result(future: futures.Future, deadline_s: float) -> Any:
    """Returns the result of a future, or None if there is none by the deadline."""
    try:
        return future.result(max(0.0, deadline_s - time.monotonic()))
    except futures.TimeoutError:
        return None
