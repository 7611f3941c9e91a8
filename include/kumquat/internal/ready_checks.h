/* Readiness checks: whether this process accepts traffic. */
#pragma once

#include <tevent.h>

#include "kumquat/http_server.h"

typedef struct KqReadyChecks KqReadyChecks;

/**
 * struct KqReadyState - state that determines the answer to a check
 * @ready: the process accepts traffic
 * @may_become_ready: the process has just started, was not asked to stop, and may become ready at
 * any moment
 */
typedef struct
{
  bool ready;
  bool may_become_ready;
} KqReadyState;

/**
 * kq_ready_checks_new - creates the handler of readiness checks
 * @wait_us: longest time for which a check is held while @may_become_ready is set
 * @state: returns the current state
 *
 * Return: (owned by @parent) the checks, or NULL with @error set.
 */
KqReadyChecks *kq_ready_checks_new (const void *parent, struct tevent_context *ev, KqTime wait_us,
                                    KqReadyState (*state) (void *data), void *data, KqError *error);

/**
 * kq_ready_checks_handle - answers @request: 200 when the process is ready, 503 when it is not
 *
 * A check that arrives while the process may become ready at any moment is held until it is ready,
 * and for the longest wait of kq_ready_checks_new() at most.
 */
void kq_ready_checks_handle (KqReadyChecks *checks, KqHttpRequest *request);

/** kq_ready_checks_update - answers held checks if the state has changed; called after each event
 * that may change it */
void kq_ready_checks_update (KqReadyChecks *checks);
