/* Decides when too many targets look dead to believe it. */
#pragma once

#include "kumquat/types.h"

#define KQ_PANIC_PERMILLE 500 /* usual share of live targets below which deaths are doubted */

/**
 * struct KqDomainCounts - one failure domain's targets as the failure detector sees them
 */
typedef struct
{
  unsigned alive;
  unsigned suspect;
  unsigned dead;
} KqDomainCounts;

/**
 * struct KqPanic - what to do about targets that look dead
 * @use_suspects: suspected targets stay candidates
 * @use_dead: targets that were declared dead stay candidates as well
 * @silent_domains: failure domains in which every target looks dead
 */
typedef struct
{
  bool use_suspects;
  bool use_dead;
  unsigned silent_domains;
} KqPanic;

/**
 * kq_panic_decide - weighs what looks dead against what is left
 * @domains: (borrowed) (array): counts of one service's targets in each failure domain
 * @count: length of @domains
 * @threshold_permille: share of live targets below which deaths are doubted
 *
 * A failure domain that is silent as a whole is one event: it is believed as long as less than half
 * of the domains are silent. Otherwise it is likelier that this instance is cut off.
 * In the domains that are left, deaths are believed one by one until fewer than the threshold are
 * left: then crowding the rest does more harm than trying targets that may be dead.
 *
 * Return: the decision; it depends only on the arguments.
 */
KqPanic kq_panic_decide (const KqDomainCounts *domains, unsigned count,
                         unsigned threshold_permille);
