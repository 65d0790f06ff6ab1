"""View that a VM has of the configuration, the term and its own shutdown.

The daemon updates it, and the threads that serve callers read it.
"""

import dataclasses

from lycheegate.jobs import model, refusal_switch
from lycheegate.node import terms

__all__ = ["NodeView"]


@dataclasses.dataclass(slots=True)
class NodeView:
    """This VM's view of the configuration, the term and its own shutdown.

    Attributes:
        configuration: Configuration in force, or None if none has been read.
        evacuated: Data centres that the operators evacuate.
        switches: Queues that refuse late jobs, or did so; updated before the configuration.
        confirmed_at_s: When configuration and evacuations were last confirmed to be the newest.
        term: View of the scheduler's term.
        drain_ends_s: Time by which all calls must be answered, or None unless draining.
    """

    configuration: model.Configuration | None = None
    switches: refusal_switch.Switches = dataclasses.field(default_factory=refusal_switch.Switches)
    evacuated: frozenset[str] = frozenset()
    confirmed_at_s: float = 0.0
    term: terms.TermView = dataclasses.field(default_factory=terms.TermView)
    drain_ends_s: float | None = None
