/* Which balancer an answer goes through when the one of the request may be gone. */
#pragma once

#include "kumquat/random.h"
#include "kumquat/view.h"

#define KQ_RETURN_PATHS_MAX 1024 /* balancers of one region, with those that left lately */

/**
 * struct KqReturnPaths - the balancers this process has seen
 * @addresses: (array): their data addresses
 * @alive: (array): whether membership has them now as alive and serving: one that starts without
 * the services' configuration drops answers
 * @count: length of both
 */
typedef struct
{
  KqAddress addresses[KQ_RETURN_PATHS_MAX];
  bool alive[KQ_RETURN_PATHS_MAX];
  unsigned count;
} KqReturnPaths;

/** kq_return_paths_update - takes the live members */
void kq_return_paths_update (KqReturnPaths *paths, const KqMember *members, unsigned count);

/**
 * kq_return_paths_choose - picks the balancer for an answer
 * @via: (borrowed): the balancer of the flow's last request
 *
 * A balancer that was never seen is taken to be new, not dead.
 *
 * Return: (borrowed) @via unless it was seen and is gone; then a random live one; @via if none is.
 */
const KqAddress *kq_return_paths_choose (const KqReturnPaths *paths, const KqAddress *via,
                                         KqRandom *random);
