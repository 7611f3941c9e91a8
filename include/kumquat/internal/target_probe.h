/* Liveness probe of the target by CoAP ping. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct KqTargetProbe KqTargetProbe;

#define KQ_TARGET_PROBE_INTERVAL_MS 250

/* Consecutive pings that may stay unanswered before the target counts as unreachable. */
#define KQ_TARGET_PROBE_UNANSWERED_MAX 8

/**
 * kq_target_probe_new - starts to ping @target
 * @changed: called when the target begins or ceases to answer
 *
 * Return: (owned by @parent) the probe, or NULL with @error set. The target counts as not answering
 * until its first answer.
 */
KqTargetProbe *kq_target_probe_new (const void *parent, struct tevent_context *ev,
                                    const KqAddress *target,
                                    void (*changed) (bool answers, void *data), void *data,
                                    KqError *error);

/** kq_target_probe_is_responsive - Return: whether the target answers */
bool kq_target_probe_is_responsive (const KqTargetProbe *probe);
