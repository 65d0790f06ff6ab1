"""What was learned about durations: factors of workers and of steps.

Handles fleets whose workers take different times for the same task, which no declaration says,
beside declared durations that are wrong by half and tasks that take several times as long as
others. The logarithm of measured over declared duration is taken as the sum of an effect of the
step, an effect of the worker, and noise (a diagonal Kalman filter).

The effect of a worker is kept as what its runs alone say. How far that is trusted depends on the
variance between workers, which is estimated from the fleet: in an even fleet the estimates stay
close to 1, and in an uneven one they follow from few runs. A worker far from the others is trusted
all the same, so that a single slow worker in an even fleet is recognised.
"""

import dataclasses
import math
import statistics

__all__ = [
    "DurationModel",
    "Effect",
    "Estimate",
    "Observation",
    "Wave",
    "WorkerEffect",
    "compare_workers",
    "forget_worker",
    "get_queue_effect",
    "get_worker_effect",
    "get_worker_estimate",
    "make_estimate",
    "make_step_effect",
    "refresh",
    "remove_other_incarnation",
    "update",
    "update_account",
]

MAX_LOG = 7.0
"""Largest logarithm of measured over declared duration that is distinguished, a factor of a
thousand; callers may declare any duration."""
STEP_VARIANCE = 0.165
"""Variance between steps of a queue and client account: declared durations are off by half."""
TASK_VARIANCE = 0.0225
"""Variance between tasks of a step, whose durations differ by about 15%."""
KNOWN_STEP_VARIANCE = 0.0225
"""Variance of a step's effect up to which a surprising duration may be due to the worker. Before,
the declaration is the likely cause."""
MIN_STEP_VARIANCE = 0.0009
"""The estimates of the workers that have run a step are never exact, so neither is its effect."""
MIN_WORKER_VARIANCE = 0.0009
"""Least variance between workers (3%), below which differences do not matter."""
WORKER_VARIANCE = 0.1
"""Least variance between workers that an observation allows for when it adjusts its step. Until the
spread of the fleet is known, a step would otherwise take over the effects of its workers."""
WORKER_DRIFT_PER_S = 2e-5
"""Growth of the variance of a worker with time: 3.5% after a minute, 27% after an hour."""
ACCOUNT_VARIANCE = 0.25
"""Variance between client accounts of a queue, before any of their steps has run."""
MIN_ACCOUNT_VARIANCE = 0.008
"""Least variance of an account's effect; it follows the last twenty steps or so."""
MAX_ACCOUNT_DEVIATION = math.log(2.0)
"""Distance from the median of a queue's accounts beyond which an account counts no further, so that
the declarations of one account hardly change what is expected of others."""
MAX_DEVIATION = 2.0
"""Standard deviations at which a residual is clipped. One task in thirty takes seven times as long
as normal, which says little about its step or worker."""
MAX_SHRINKAGE = 2.0
"""Standard deviations by which the estimate of a worker is moved towards typical at most."""
MIN_OUTLYING_RUNS = 5
"""Number of observations from which a worker may differ from all others; fewer may be of tasks that
take several times as long as normal."""
DEVIATION_ALLOWANCE = 0.75
"""Standard deviations of each residual that do not count towards a change of a worker."""
MAX_DEVIATION_SUM = 4.5
"""Sum of the residuals to one side, in standard deviations, from which a worker has changed; a
worker that takes 1.6 times as long as before exceeds it with its fifth run or so."""
CHANGED_VARIANCE = 0.05
"""Variance that is added to the effect of a worker that has changed."""
REFRESH_S = 1.0
"""Interval at which the effects are centred and the variance between workers is estimated."""
MIN_SPREAD_RUNS = 2
"""Number of observations from which a worker counts for the spread; a single one may be of a task
that takes several times as long as normal."""
SPREAD_MARGIN = 2.0
"""Standard errors that the spread of the workers must exceed to count as unevenness."""


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Estimate of a ratio of durations.

    Attributes:
        ratio: Expected value.
        upper_ratio: Value that is exceeded in about one of six cases.
        runs: Number of observations behind it.
    """

    ratio: float = 1.0
    upper_ratio: float = 1.0
    runs: int = 0


@dataclasses.dataclass(slots=True)
class Effect:
    """Effect on the logarithm of a duration.

    Attributes:
        mean: Its expected value.
        variance: Its variance.
        runs: Number of observations behind it.
    """

    mean: float
    variance: float
    runs: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Measured duration of a task, or of a gang.

    Attributes:
        worker_id: The worker, for a gang that of the slowest member.
        born_ms: Incarnation of the worker, in milliseconds since 1970, or 0 if unknown.
        value: Logarithm of the measured over the declared duration.
        noise: Variance of the measurement, the difference between tasks included.
    """

    worker_id: str
    born_ms: int
    value: float
    noise: float


@dataclasses.dataclass(slots=True)
class Wave:
    """Tasks of a step that ran when the first of them was observed.

    Attributes:
        size: Number of the tasks, or 1 once most of them have been observed.
        until_s: Time at which they count as observed in any case.
        waiting: Their observations so far.
    """

    size: int
    until_s: float
    waiting: list[Observation] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class WorkerEffect:
    """Effect of a worker, according to its runs alone.

    Attributes:
        born_ms: Incarnation of the worker, in milliseconds since 1970, or 0 if unknown.
        mean: Its expected value.
        variance: Its variance when it was last updated.
        runs: Number of observations behind it.
        updated_at_s: When it was last updated.
        slower_sum: Sum of recent residuals of runs that took longer than expected.
        faster_sum: The same for runs that took less time.
    """

    born_ms: int
    mean: float
    variance: float
    runs: int
    updated_at_s: float
    slower_sum: float = 0.0
    faster_sum: float = 0.0

    def compute_variance(self, now_s: float) -> float:
        """Returns the variance, which grows with time."""
        return self.variance + WORKER_DRIFT_PER_S * max(0.0, now_s - self.updated_at_s)


@dataclasses.dataclass(slots=True)
class DurationModel:
    """Learned factors of one scheduler.

    Attributes:
        workers: Effects of workers by identifier.
        queues: Effects of client accounts, by queue and account.
        worker_variance: Variance between workers.
        refreshed_at_s: When the effects were last centred.
        reported_at_s: When the model was last summarised in the log.
        unreported: Number of observations since then.
        queue_effects: Cache of the effects of queues.
    """

    workers: dict[str, WorkerEffect] = dataclasses.field(default_factory=dict)
    queues: dict[str, dict[str, Effect]] = dataclasses.field(default_factory=dict)
    worker_variance: float = MIN_WORKER_VARIANCE
    refreshed_at_s: float = 0.0
    reported_at_s: float = 0.0
    unreported: int = 0
    queue_effects: dict[str, Effect] = dataclasses.field(default_factory=dict, compare=False)


def make_estimate(mean: float, variance: float, runs: int) -> Estimate:
    """Returns the estimate of a ratio from the mean and variance of its logarithm."""
    return Estimate(math.exp(mean), math.exp(mean + math.sqrt(variance)), runs)


def get_worker_estimate(model: DurationModel, worker_id: str, now_s: float) -> Estimate:
    """Returns how long a worker takes for a task, relative to a typical worker."""
    effect = model.workers.get(worker_id)
    mean, variance = _compute_worker_effect(model, effect, now_s)
    return make_estimate(mean, variance, 0 if effect is None else effect.runs)


def get_worker_effect(model: DurationModel, worker_id: str, now_s: float) -> tuple[float, float]:
    """Returns the mean and variance of the logarithm of a worker's ratio."""
    return _compute_worker_effect(model, model.workers.get(worker_id), now_s)


def _compute_worker_effect(
    model: DurationModel, effect: WorkerEffect | None, now_s: float
) -> tuple[float, float]:
    """Returns the mean and variance of a worker's effect, given the variance between workers."""
    between = model.worker_variance
    if effect is None:
        return 0.0, between
    own = effect.compute_variance(now_s)
    shrinkage = effect.mean * own / (between + own)
    variance = between * own / (between + own)
    if effect.runs < MIN_OUTLYING_RUNS:
        return effect.mean - shrinkage, variance
    limit = MAX_SHRINKAGE * math.sqrt(own)
    return effect.mean - max(-limit, min(limit, shrinkage)), variance


def make_step_effect(model: DurationModel, queue: str, account: str) -> Effect:
    """Returns what is expected of a new step: the effect of its account, or that of its queue.

    The effect of an account counts as far as it is known.
    """
    of_queue = get_queue_effect(model, queue)
    own = model.queues.get(queue, {}).get(account)
    if own is None:
        return Effect(of_queue.mean, STEP_VARIANCE + of_queue.variance)
    weight = own.variance / (own.variance + ACCOUNT_VARIANCE)
    mean = own.mean + weight * (of_queue.mean - own.mean)
    return Effect(mean, STEP_VARIANCE + own.variance, 0)


def get_queue_effect(model: DurationModel, queue: str) -> Effect:
    """Returns the mean effect over the client accounts of a queue, each with the same weight."""
    effect = model.queue_effects.get(queue)
    if effect is None:
        effect = model.queue_effects[queue] = _compute_queue_effect(model, queue)
    return effect


def _compute_queue_effect(model: DurationModel, queue: str) -> Effect:
    means = [effect.mean for effect in model.queues.get(queue, {}).values()]
    if not means:
        return Effect(0.0, 0.0)
    # Right declarations count as one more account, so that of two accounts one may be wrong.
    middle = statistics.median([0.0, *means])
    low, high = middle - MAX_ACCOUNT_DEVIATION, middle + MAX_ACCOUNT_DEVIATION
    return Effect(statistics.fmean(max(low, min(high, mean)) for mean in means), 0.0, len(means))


def update(
    model: DurationModel, step: Effect, wave: Wave, observation: Observation, now_s: float
) -> None:
    """Adjusts the effects of a step and of workers to an observation.

    The tasks of a step that have started together end in the order of their workers' speeds. Until
    most of them have been observed, the effect of the step is one of fast workers only, so the
    workers are compared with it afterwards.

    Args:
        model: The model, which is changed in place.
        step: Effect of the step, which is changed in place.
        wave: First tasks of the step; changed in place.
        observation: The observation.
        now_s: Time on the scheduler's clock.
    """
    is_known = step.variance <= KNOWN_STEP_VARIANCE
    is_clipped = _update_step(model, step, observation, now_s)
    if wave.size > 1:
        wave.waiting.append(observation)
    elif is_known or not is_clipped:
        _update_worker(model, step, observation, now_s)


def compare_workers(model: DurationModel, step: Effect, wave: Wave, now_s: float) -> None:
    """Adjusts the effects of the workers to the observations of a step that wait for this."""
    for observation in wave.waiting:
        _update_worker(model, step, observation, now_s)
    wave.waiting.clear()


def _update_step(
    model: DurationModel, step: Effect, observation: Observation, now_s: float
) -> bool:
    """Adjusts the effect of a step to an observation; returns whether its residual is clipped."""
    worker = model.workers.get(observation.worker_id)
    mean, _ = _compute_worker_effect(model, worker, now_s)
    variance = max(model.worker_variance, WORKER_VARIANCE)
    if worker is not None:
        own = worker.compute_variance(now_s)
        variance *= own / (variance + own)
    total = step.variance + variance + observation.noise
    gain = step.variance / total
    limit = MAX_DEVIATION * math.sqrt(total)
    residual = observation.value - step.mean - mean
    step.mean += gain * max(-limit, min(limit, residual))
    step.runs += 1
    # A clipped residual does not confirm the estimate, so it leaves its variance as it is.
    if abs(residual) > limit:
        return True
    step.variance = max(MIN_STEP_VARIANCE, (1.0 - gain) * step.variance)
    return False


def _update_worker(
    model: DurationModel, step: Effect, observation: Observation, now_s: float
) -> None:
    """Adjusts the effect of a worker to an observation of a step whose effect is known."""
    value, noise = observation.value - step.mean, observation.noise + step.variance
    remove_other_incarnation(model, observation.worker_id, observation.born_ms)
    effect = model.workers.get(observation.worker_id)
    if effect is None:
        limit = MAX_DEVIATION * math.sqrt(noise + max(model.worker_variance, WORKER_VARIANCE))
        mean = max(-limit, min(limit, value))
        model.workers[observation.worker_id] = WorkerEffect(
            observation.born_ms, mean, noise, 1, now_s
        )
        return
    own = effect.compute_variance(now_s)
    deviation = math.sqrt(own + noise)
    gain = own / (own + noise)
    limit = MAX_DEVIATION * deviation
    residual = value - effect.mean
    clipped = max(-limit, min(limit, residual))
    effect.mean += gain * clipped
    effect.variance = (1.0 - gain) * own if clipped == residual else own
    effect.runs += 1
    effect.updated_at_s = max(effect.updated_at_s, now_s)
    _detect_change(effect, clipped / deviation)


def _detect_change(effect: WorkerEffect, deviation: float) -> None:
    """Lets a worker be learned anew after deviations to one side that are no coincidence.

    Args:
        effect: Effect of the worker.
        deviation: Clipped residual of an observation, in standard deviations.
    """
    effect.slower_sum = max(0.0, effect.slower_sum + deviation - DEVIATION_ALLOWANCE)
    effect.faster_sum = max(0.0, effect.faster_sum - deviation - DEVIATION_ALLOWANCE)
    if max(effect.slower_sum, effect.faster_sum) > MAX_DEVIATION_SUM:
        effect.slower_sum = effect.faster_sum = 0.0
        effect.variance += CHANGED_VARIANCE


def update_account(
    model: DurationModel, queue: str, account: str, value: float, noise: float
) -> None:
    """Adjusts the effect of a client account on a queue to the first observation of a step.

    Each step counts once, whatever the number of its tasks.

    Args:
        model: The model, which is changed in place.
        queue: The queue.
        account: The client account.
        value: Logarithm of measured over declared duration, without the effect of the worker.
        noise: Variance of that value, apart from the difference between steps.
    """
    accounts = model.queues.setdefault(queue, {})
    effect = accounts.get(account)
    if effect is None:
        # The effect is that of its own steps alone, so that it does not spread to other accounts.
        limit = MAX_DEVIATION * math.sqrt(ACCOUNT_VARIANCE + STEP_VARIANCE + noise)
        mean = max(-limit, min(limit, value))
        accounts[account] = Effect(mean, STEP_VARIANCE + noise, 1)
        model.queue_effects.pop(queue, None)
        return
    total = effect.variance + STEP_VARIANCE + noise
    limit = MAX_DEVIATION * math.sqrt(total)
    gain = effect.variance / total
    residual = value - effect.mean
    effect.mean += gain * max(-limit, min(limit, residual))
    if abs(residual) <= limit:
        effect.variance = max(MIN_ACCOUNT_VARIANCE, (1.0 - gain) * effect.variance)
    effect.runs += 1
    model.queue_effects.pop(queue, None)


def refresh(model: DurationModel, now_s: float) -> None:
    """Centres the effects of the workers, and estimates the variance between them.

    The effects of all workers and steps can be shifted against each other without a difference to
    any observation, so the typical worker is defined by a mean of 0.
    """
    if now_s - model.refreshed_at_s < REFRESH_S:
        return
    model.refreshed_at_s = now_s
    if not model.workers:
        return
    effects = list(model.workers.values())
    shift = statistics.fmean(_compute_worker_effect(model, e, now_s)[0] for e in effects)
    for effect in effects:
        effect.mean -= shift
    for accounts in model.queues.values():
        for account in accounts.values():
            account.mean += shift
    model.queue_effects.clear()
    model.worker_variance = _estimate_worker_variance(effects, now_s)


def _estimate_worker_variance(effects: list[WorkerEffect], now_s: float) -> float:
    """Returns the variance between workers that the spread of their effects shows at least."""
    weights = spread = 0.0
    for effect in effects:
        if effect.runs < MIN_SPREAD_RUNS:
            continue
        own = effect.compute_variance(now_s)
        weight = (MIN_WORKER_VARIANCE + own) ** -2.0
        weights += weight
        spread += weight * (effect.mean * effect.mean - own)
    if not weights:
        return MIN_WORKER_VARIANCE
    margin = SPREAD_MARGIN * math.sqrt(2.0 / weights)
    return max(MIN_WORKER_VARIANCE, spread / weights - margin)


def forget_worker(model: DurationModel, worker_id: str) -> None:
    """Removes what was learned about a worker."""
    model.workers.pop(worker_id, None)


def remove_other_incarnation(model: DurationModel, worker_id: str, born_ms: int) -> None:
    """Removes what was learned about a worker if it has returned as another incarnation."""
    effect = model.workers.get(worker_id)
    if effect is None or effect.born_ms == born_ms or not born_ms:
        return
    if effect.born_ms:
        del model.workers[worker_id]
    else:
        effect.born_ms = born_ms
