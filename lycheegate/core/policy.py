"""Settings of the scheduling policy."""

import dataclasses

__all__ = ["PolicySettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class PolicySettings:
    """Limits and weights of the decisions.

    Attributes:
        completion_weight: Weight of completion time in placement and queue order, 0 to 1.
        fragmentation_weight: Weight of fragmentation in placement, 0 to 1.
        urgent_reserve_ratio: Share of slots, and of accelerators, that non-urgent work which
            cannot be preempted may not take.
        preemption_grace_s: Time that a stopped task has to checkpoint.
        max_bypass_s: Waiting time after which a large job gets a reservation.
        max_bypass_count: Placements of other work after which it gets one.
        max_reservation_wait_s: Time after which preemptible work on a reserved block is stopped.
        large_accelerators: Total accelerators from which a job counts as large.
        max_attempts: Attempts of a request that may run again.
        retry_backoff_s: First delay before another attempt; doubles, with full jitter.
        quarantine_failures: Consecutive failures that put a worker in quarantine.
        quarantine_requests: Distinct requests that these failures must span.
        probe_interval_s: Time between probes of a quarantined worker.
        bad_job_workers: Distinct healthy workers on which a request fails before it ends failed.
        outcome_wait_s: Time that a non-idempotent request waits for a lost worker.
        hold_timeout_s: Time for all members of a gang to be held.
        max_queued_per_account: Requests that one client account may have waiting.
        max_queued: Requests that may wait in the partition.
        max_preemptions: Times that one request may be preempted before it is left alone.
    """

    completion_weight: float = 0.5
    fragmentation_weight: float = 0.5
    urgent_reserve_ratio: float = 0.1
    preemption_grace_s: float = 2.0
    max_bypass_s: float = 60.0
    max_bypass_count: int = 50
    max_reservation_wait_s: float = 60.0
    large_accelerators: int = 8
    max_attempts: int = 4
    retry_backoff_s: float = 0.2
    quarantine_failures: int = 5
    quarantine_requests: int = 3
    probe_interval_s: float = 30.0
    bad_job_workers: int = 3
    outcome_wait_s: float = 30.0
    hold_timeout_s: float = 2.0
    max_queued_per_account: int = 2000
    max_queued: int = 10000
    max_preemptions: int = 3
