"""Starts a node that breaks one rule, to test that the checker reports it.

The environment variable CELERYFIELD_TEST_FAULT names the rule. Each fault
replaces methods of celeryfield before the start, so that celeryfield itself
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
from celeryfield.internal.routing.retries import RetryRatios
from celeryfield.internal.routing.retry_policy import RetryPolicy
from celeryfield.internal.upstream.announcements import AnnouncementTracker
from celeryfield.internal.upstream.client import UpstreamClient

# Delay until the previous version of a file set is applied again.
REAPPLY_DELAY_S = 0.2
# One in this many successful calls returns the previous result.
WRONG_RESULT_INTERVAL = 20


def run_again_for_known_keys():
    async def run_once(self, key, fingerprint, start):
        return await start()

    KeyLedger.run_once = run_once


def report_lost_connection_as_not_run():
    request = UpstreamClient.request

    async def request_and_report_not_run(
        self, call, body, traceparent, timeout_ms
    ):
        result = await request(self, call, body, traceparent, timeout_ms)
        if result.reason is Reason.CONNECTION_LOST:
            return not_run_result(Reason.CONNECTION_LOST)
        return result

    UpstreamClient.request = request_and_report_not_run


def return_previous_answer():
    request = UpstreamClient.request
    ok_results = []

    async def request_and_return_previous(
        self, call, body, traceparent, timeout_ms
    ):
        result = await request(self, call, body, traceparent, timeout_ms)
        if result.outcome is Outcome.OK:
            ok_results.append(result)
            if len(ok_results) % WRONG_RESULT_INTERVAL == 0:
                return ok_results[-2]
        return result

    UpstreamClient.request = request_and_return_previous


def accept_older_versions():
    apply_if_newer = ConfigManager.apply_if_newer

    def apply_and_reapply_previous(self, candidate):
        previous = self.current_by_team.get(candidate.team)
        is_new = apply_if_newer(self, candidate)
        if is_new and previous is not None:
            asyncio.get_running_loop().call_later(
                REAPPLY_DELAY_S, apply_if_newer, self, previous
            )
        return is_new

    ConfigManager.apply_if_newer = apply_and_reapply_previous
    # Otherwise the manager would reject the previous version.
    ConfigManager._is_newer = lambda self, candidate: True


def ignore_config_changes():
    apply_if_newer = ConfigManager.apply_if_newer

    def apply_first_version_only(self, candidate):
        is_team_known = candidate.team in self.current_by_team
        return False if is_team_known else apply_if_newer(self, candidate)

    ConfigManager.apply_if_newer = apply_first_version_only


def exit_without_draining():
    async def drain(self):
        os._exit(0)

    Node.drain = drain


def retry_without_spending_allowance():
    spend_retry = RetryPolicy._spend_retry

    def spend_and_refund(self, run, candidate):
        chosen = spend_retry(self, run, candidate)
        run.allowance += chosen is not None
        return chosen

    RetryPolicy._spend_retry = spend_and_refund
    # Also disables the retry ratio of each class and the repeat budget of the
    # node beside each upstream. They would prevent most of the extra attempts.
    RetryRatios.try_acquire = lambda self, class_name: True
    RepeatBudget.try_acquire = lambda self, priority, now_ms: True


def serve_draining_upstream():
    accept = AnnouncementTracker.accept

    def accept_as_ready(self, announcement):
        accept(self, announcement.model_copy(update={"state": "ready"}))

    AnnouncementTracker.accept = accept_as_ready


def treat_no_request_as_suspect():
    SuspectTable.verdict = lambda self, fingerprint, now_ms: Verdict.CLEAR


# Faults by the checker rule that must report them.
FAULTS_BY_RULE = {
    "run-once": run_again_for_known_keys,
    "not-run": report_lost_connection_as_not_run,
    "answers": return_previous_answer,
    "config-versions": accept_older_versions,
    "accepted-versions": ignore_config_changes,
    "planned-stops": exit_without_draining,
    "attempts": retry_without_spending_allowance,
    "drained": serve_draining_upstream,
    "suspects": treat_no_request_as_suspect,
}

if __name__ == "__main__":
    FAULTS_BY_RULE[os.environ["CELERYFIELD_TEST_FAULT"]]()
    main()
