/* Finds out by CoAP ping whether the target process answers at all. */
#pragma once

#include <tevent.h>

#include "kumquat/types.h"

typedef struct KqTargetProbe KqTargetProbe;

#define KQ_TARGET_PROBE_INTERVAL_MS 250
#define KQ_TARGET_PROBE_MISSES_MAX                                                                 \
  8 /* pings without an answer before the target counts as gone                                    \
     */

/**
 * kq_target_probe_new - starts to ping
 * @changed: called when the target starts or stops to answer
 *
 * Return: (owned by @parent) the probe, which takes the target as not answering at first, or NULL
 * with @error set.
 */
KqTargetProbe *kq_target_probe_new (const void *parent, struct tevent_context *ev,
                                    const KqAddress *target,
                                    void (*changed) (bool answers, void *data), void *data,
                                    KqError *error);

/** kq_target_probe_answers - Return: whether the target answers */
bool kq_target_probe_answers (const KqTargetProbe *probe);
