"""Settings of the scheduling policy."""

import dataclasses

__all__ = ["PolicySettings"]


@dataclasses.dataclass(frozen=True, slots=True)
class PolicySettings:
    """Limits and weights of scheduling decisions.

    Attributes:
        completion_weight: Weight of completion time in placement and queue order, 0 to 1.
        fragmentation_weight: Weight of fragmentation in placement, 0 to 1. Small work is moved
            for a job only if it has at most this share of the accelerators of the job.
        urgent_reserve_ratio: Share of slots, and of accelerators, that is not available to
            non-urgent work which cannot be preempted.
        preemption_grace_s: Time that a preempted task has to checkpoint.
        max_bypass_s: Waiting time after which a large job gets a reservation.
        max_bypass_count: Starts of other work after which it gets one.
        max_reservation_wait_s: Time after which preemptible work on a reserved block is stopped.
        large_accelerators: Smallest number of accelerators, or of members, of a large job.
        max_attempts: Maximum number of attempts of a request that may run again.
        retry_backoff_s: Upper bound of the first delay before another attempt; doubles with each
            delay, with full jitter.
        quarantine_failures: Consecutive failures that put a worker in quarantine.
        quarantine_requests: Distinct requests to which these failures must belong.
        probe_interval_s: Time between probes of a quarantined worker.
        bad_job_workers: Distinct healthy workers on which a request must fail before it ends as
            failed.
        outcome_wait_s: Time that a non-idempotent request waits for a lost worker to report its
            outcome.
        hold_timeout_s: Time within which all members of a gang must be held.
        max_queued_per_account: Maximum number of waiting requests of one client account.
        max_queued: Maximum number of waiting requests in the partition.
        max_preemptions: Number of preemptions after which a request is preempted only for a
            guarantee.
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
