/* Choice of the balancer that an answer is sent through, since the balancer of the request may have
 * stopped. */
#pragma once

#include "kumquat/random.h"
#include "kumquat/view.h"

#define KQ_RETURN_PATHS_MAX 1024 /* balancers of one region, including those that left recently */

/**
 * struct KqReturnPaths - the balancers that have been members
 * @addresses: (array): their data addresses
 * @alive: (array): whether they are members that are alive and serving; a starting balancer without
 * the configuration of the services drops answers
 * @count: length of both
 */
typedef struct
{
  KqAddress addresses[KQ_RETURN_PATHS_MAX];
  bool alive[KQ_RETURN_PATHS_MAX];
  unsigned count;
} KqReturnPaths;

/** kq_return_paths_update - updates the balancers from the current members */
void kq_return_paths_update (KqReturnPaths *paths, const KqMember *members, unsigned count);

/**
 * kq_return_paths_choose - chooses the balancer for an answer
 * @via: (borrowed): the balancer of the flow's last request
 *
 * A balancer that has never been a member is taken to be new, not dead.
 *
 * Return: (borrowed) @via, unless it was a member and is not alive any more; then a random live
 * balancer, or @via if there is none.
 */
const KqAddress *kq_return_paths_choose (const KqReturnPaths *paths, const KqAddress *via,
                                         KqRandom *random);
