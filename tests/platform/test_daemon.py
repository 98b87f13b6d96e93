"""Tests of the loops of the daemon itself."""

from __future__ import annotations

import asyncio
import json

from tests.test_job_settings import ENTRY

from hyssoprill.job_settings import JobSettings
from hyssoprill.settings import load_settings
from hyssoprill.transport.metrics import Metrics


def test_settings_are_reloaded_after_a_reload_that_failed(monkeypatch, tmp_path):
    """The reload ended, and no later settings were applied."""
    from adapter import daemon

    path = tmp_path / "entry-1.json"
    path.write_text(json.dumps(ENTRY))
    applied = []

    def apply(cfg) -> None:
        applied.append(cfg.bounds.stop_grace_s)
        if len(applied) == 1:
            raise RuntimeError("unexpected")

    async def serve(_cfg, _stopping, _metrics, reloads) -> None:
        reloads.apply = apply
        for grace_s in (4.0, 5.0):
            bounds = {**ENTRY["bounds"], "stop_grace_s": grace_s}
            path.write_text(json.dumps({**ENTRY, "bounds": bounds}))
            reloads.reload_requested.set()
            await asyncio.sleep(0.4)

    monkeypatch.setattr(daemon, "serve", serve)
    cfg = load_settings(path, JobSettings)
    asyncio.run(daemon._run(path, cfg, Metrics("job-entry", "entry-1")))
    assert applied == [4.0, 5.0]
