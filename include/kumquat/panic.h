/* Panic mode: decides whether too many targets appear dead to trust the failure detector. */
#pragma once

#include "kumquat/types.h"

#define KQ_PANIC_PERMILLE 500 /* default share of live targets below which deaths are doubted */

/**
 * struct KqDomainCounts - number of targets of one failure domain in each liveness state
 */
typedef struct
{
  unsigned alive;
  unsigned suspect;
  unsigned dead;
} KqDomainCounts;

/**
 * struct KqPanic - how to treat targets that appear dead
 * @use_suspects: suspected targets stay candidates
 * @use_dead: targets that were declared dead stay candidates as well
 * @silent_domains: failure domains in which every target appears dead
 */
typedef struct
{
  bool use_suspects;
  bool use_dead;
  unsigned silent_domains;
} KqPanic;

/**
 * kq_panic_decide - decides whether targets that appear dead stay candidates
 * @domains: (borrowed) (array): counts of one service's targets in each failure domain
 * @count: length of @domains
 * @threshold_permille: share of live targets below which deaths are distrusted
 *
 * A failure domain in which every target appears dead is treated as one event. It is accepted as
 * long as less than half of the domains are silent; otherwise it is more likely that this instance
 * is isolated from the network. In the remaining domains, individual deaths are accepted until the
 * share of live targets falls below the threshold: then overloading the remaining targets does more
 * harm than trying targets that may be dead.
 *
 * Return: the decision; it depends only on the arguments.
 */
KqPanic kq_panic_decide (const KqDomainCounts *domains, unsigned count,
                         unsigned threshold_permille);
