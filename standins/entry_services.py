"""Stand-in of the entry daemon for tests of the operators' interface and the command line."""

from returns import result

from lycheegate.entry import services
from lycheegate.keys import tokens
from lycheegate.metrics import histograms
from lycheegate.release import current
from lycheegate.settings import loader
from standins import memory

__all__ = ["EXPIRED_TOKEN", "SETTINGS", "TOKEN", "FakeServices"]

TOKEN = "lyg_00112233aabbccdd_" + "x" * 43
EXPIRED_TOKEN = "lyg_ffffffffaabbccdd_" + "x" * 43
SETTINGS = f"""\
vm_id: entry-1
region: kr
data_centre: suwon
callers_address: 127.0.0.1:0
peers_address: 127.0.0.1:0
platform: {{table: "http://127.0.0.1:1", objects: "http://127.0.0.1:1", vms: "http://127.0.0.1:1"}}
peer_key: {"k" * 32}
operators:
  - {{name: kim, token_hash: "{tokens.hash_token(TOKEN)}"}}
  - {{name: lee, token_hash: "{tokens.hash_token(EXPIRED_TOKEN)}", expires_on: 2025-12-31}}
job_classes: {{preview: {{urgency: urgent, idempotent: true}}}}
limits: {{max_body_bytes: 2048, operator_threads: 1}}
"""


class FakeServices:
    """Services of an entry daemon that has no peers.

    Attributes:
        table: In-memory table service.
        current_release: The release in force.
        prepare_result: Result that ``prepare_release`` returns.
        drained: Identifiers of the VMs for which a drain was started.
        on_status: Callback of ``get_status``.
        workers: Workers that ``list_workers`` returns.
    """

    def __init__(self):
        self.table = memory.MemoryTable(sleep=lambda _: None)
        self.current_release = current.CurrentRelease()
        self.prepare_result: result.Result = result.Success(1)
        self.drained: list[str] = []
        self.on_status = lambda: None
        self.workers = [
            services.WorkerView(
                worker_id=f"w{n}",
                endpoint="127.0.0.1:1",
                region="kr",
                data_centre="suwon",
                rack="r1",
                slots=8,
                accelerators=8,
                state=state,
            )
            for n, state in enumerate(("live", "lost", "leaving"))
        ]

    def get_settings(self):
        """Returns settings with one operator whose token is valid and one whose token expired."""
        return loader.parse_settings(SETTINGS, "entry.yaml").unwrap()

    def get_release(self):
        """Returns the release in force."""
        return self.current_release.get()

    def get_table(self):
        """Returns the table."""
        return self.table

    def list_workers(self):
        """Returns one live, one lost and one leaving worker."""
        return self.workers

    def prepare_release(self, release):
        """Returns ``prepare_result``."""
        return self.prepare_result

    def announce_release(self, release):
        """Adopts the release."""
        self.current_release.adopt(release)

    def list_jobs(self):
        """Returns three jobs and one VM that did not answer."""
        jobs = tuple(
            services.JobView(
                request_id=f"r{n}",
                client_account="studio",
                caller="stylist-1",
                job_class="preview",
                urgency="urgent",
                state=state,
                age_s=2.0,
            )
            for n, state in enumerate(("queued", "running", "running"))
        )
        return services.JobsView(jobs=jobs, missing=("entry-2",))

    def list_usage(self):
        """Returns the usage of one client account, with a guarantee that is short of capacity."""
        short = services.GuaranteeUsage(name="hero", short=1, reason="capacity_lost")
        usage = services.AccountUsage(client_account="studio", queued=4, guarantees=(short,))
        return services.UsageView(accounts=(usage,))

    def get_status(self):
        """Returns the status of the VM, after a call of ``on_status``."""
        self.on_status()
        return services.StatusView(vm_id="entry-1", release=self.current_release.get().number)

    def read_histograms(self):
        """Returns one histogram."""
        recorder = histograms.Histograms()
        recorder.record("studio", "preview", histograms.Kind.QUEUEING, 0.5)
        return services.HistogramsView(histograms=recorder.encode())

    def start_drain(self, vm_id):
        """Records the drain of the only VM; any other VM is unknown."""
        if vm_id != "entry-1":
            return result.Failure(services.UnknownVm(vm_id, ("entry-1",)))
        self.drained.append(vm_id)
        return result.Success(None)
