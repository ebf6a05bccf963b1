"""Starts a node that breaks one rule, to test that the checker reports it.

The environment variable CELERYFIELD_TEST_FAULT names the rule. Each fault
replaces methods of the product before the start, so that the product itself
needs no switch for faults.
"""

import asyncio
import os

from celeryfield.cli.main import main
from celeryfield.internal.calls import Outcome, Reason, not_run_result
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.dispatch.repeats import RepeatBudget
from celeryfield.internal.dispatch.suspects import SuspectTable, Verdict
from celeryfield.internal.idempotency.ledger import KeyLedger
from celeryfield.internal.node import Node
from celeryfield.internal.routing.executor import CallExecutor
from celeryfield.internal.routing.retries import RetryRatios
from celeryfield.internal.upstream.announcements import AnnouncementTracker
from celeryfield.internal.upstream.client import UpstreamClient

STALE_DELAY_S = 0.2
SWAP_INTERVAL = 20


def forget_runs():
    async def run_once(self, key, fingerprint, start):
        return await start()

    KeyLedger.run_once = run_once


def report_lost_as_not_run():
    request = UpstreamClient.request

    async def request_and_report_not_run(
        self, call, body, traceparent, timeout_ms
    ):
        result = await request(self, call, body, traceparent, timeout_ms)
        if result.reason is Reason.CONNECTION_LOST:
            return not_run_result(Reason.CONNECTION_LOST)
        return result

    UpstreamClient.request = request_and_report_not_run


def swap_answers():
    request = UpstreamClient.request
    answers = []

    async def request_and_swap(self, call, body, traceparent, timeout_ms):
        result = await request(self, call, body, traceparent, timeout_ms)
        if result.outcome is Outcome.OK:
            answers.append(result)
            if len(answers) % SWAP_INTERVAL == 0:
                return answers[-2]
        return result

    UpstreamClient.request = request_and_swap


def accept_older_versions():
    apply_if_newer = ConfigManager.apply_if_newer

    def apply_with_stale_copy(self, candidate):
        previous = self.current_by_team.get(candidate.team)
        is_new = apply_if_newer(self, candidate)
        if is_new and previous is not None:
            asyncio.get_running_loop().call_later(
                STALE_DELAY_S, apply_if_newer, self, previous
            )
        return is_new

    ConfigManager.apply_if_newer = apply_with_stale_copy
    ConfigManager._is_newer = lambda self, candidate: True


def ignore_changes():
    apply_if_newer = ConfigManager.apply_if_newer

    def apply_first_version_only(self, candidate):
        is_team_known = candidate.team in self.current_by_team
        return False if is_team_known else apply_if_newer(self, candidate)

    ConfigManager.apply_if_newer = apply_first_version_only


def stop_at_once():
    async def drain(self):
        os._exit(0)

    Node.drain = drain


def spend_no_allowance():
    spend_retry = CallExecutor._spend_retry

    def spend_and_refund(self, run):
        is_spent = spend_retry(self, run)
        run.allowance += is_spent
        return is_spent

    CallExecutor._spend_retry = spend_and_refund
    # The retry ratio and the repeat budget beside each upstream would prevent
    # most of the extra attempts.
    RetryRatios.try_acquire = lambda self, class_name: True
    RepeatBudget.try_acquire = lambda self, priority, now_ms: True


def serve_draining_upstream():
    accept = AnnouncementTracker.accept

    def accept_as_ready(self, announcement):
        accept(self, announcement.model_copy(update={"state": "ready"}))

    AnnouncementTracker.accept = accept_as_ready


def never_refuse_suspects():
    SuspectTable.verdict = lambda self, fingerprint, now_ms: Verdict.CLEAR


# Faults by the checker rule that must report them.
FAULTS_BY_RULE = {
    "run-once": forget_runs,
    "not-run": report_lost_as_not_run,
    "answers": swap_answers,
    "config-versions": accept_older_versions,
    "accepted-versions": ignore_changes,
    "planned-stops": stop_at_once,
    "attempts": spend_no_allowance,
    "drained": serve_draining_upstream,
    "suspects": never_refuse_suspects,
}

if __name__ == "__main__":
    FAULTS_BY_RULE[os.environ["CELERYFIELD_TEST_FAULT"]]()
    main()
