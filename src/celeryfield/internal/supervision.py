"""Repetition of the steps of a background task despite unexpected errors."""

import logging
from collections.abc import Awaitable, Callable

import mode

from celeryfield.internal import events
from celeryfield.internal.clock import Clock

logger = logging.getLogger(__name__)

# Delay after a failed step, so that an error that occurs in every step does not
# occupy the processor or fill the log.
FAILED_STEP_DELAY_MS = 1_000.0


async def repeat_step(
    service: mode.Service, clock: Clock, step: Callable[[], Awaitable[None]]
) -> None:
    """Runs a step again and again until the service stops.

    A step that fails is logged and followed by the next one: what the step
    could not handle, such as one object of another writer, must not end the
    process and the calls that it serves. A task that depends on no input from
    outside should fail instead, since its next step would fail, too.

    Args:
        service: Service that the step belongs to.
        clock: Time source.
        step: Called for each step.
    """
    while not service.should_stop:
        try:
            await step()
        except Exception as error:
            logger.debug("step of %s failed", service.label, exc_info=True)
            events.emit(
                events.TaskStepFailed, task=service.label, problem=repr(error)
            )
            await clock.sleep_ms(FAILED_STEP_DELAY_MS)
