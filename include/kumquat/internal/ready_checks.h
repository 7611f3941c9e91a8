/* Answers to the question whether this process takes traffic. */
#pragma once

#include <tevent.h>

#include "kumquat/http_server.h"

typedef struct KqReadyChecks KqReadyChecks;

/**
 * struct KqReadyState - what decides an answer
 * @ready: the process takes traffic
 * @soon: it does not yet, and is about to: it has just started and is not told to stop
 */
typedef struct
{
  bool ready;
  bool soon;
} KqReadyState;

/**
 * kq_ready_checks_new - nothing is asked yet
 * @wait_us: how long a check waits at most for a process that is ready soon
 * @state: asked for each answer
 *
 * Return: (owned by @parent) the checks, or NULL with @error set.
 */
KqReadyChecks *kq_ready_checks_new (const void *parent, struct tevent_context *ev, KqTime wait_us,
                                    KqReadyState (*state) (void *data), void *data, KqError *error);

/**
 * kq_ready_checks_ask - answers @request: 200 when the process is ready, 503 when it is not
 *
 * A check that comes while the process is ready soon is answered when it is ready, or after the
 * longest wait.
 */
void kq_ready_checks_ask (KqReadyChecks *checks, KqHttpRequest *request);

/** kq_ready_checks_update - answers the checks that wait, as far as the state now decides them */
void kq_ready_checks_update (KqReadyChecks *checks);
