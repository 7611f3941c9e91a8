#include "kumquat/internal/search_budget.h"

/* Rounds that were sent together time out together and reduce the limit only once. */
#define DECREASE_INTERVAL_US (100 * KQ_MS)

void
kq_search_budget_init (KqSearchBudget *budget)
{
  *budget = (KqSearchBudget){ .limit = KQ_SEARCHES_INITIAL, .decreased_at = -DECREASE_INTERVAL_US };
}

bool
kq_search_budget_acquire (KqSearchBudget *budget)
{
  if (budget->running >= budget->limit)
    return false;
  budget->running++;
  return true;
}

void
kq_search_budget_release (KqSearchBudget *budget)
{
  if (budget->running > 0)
    budget->running--;
}

void
kq_search_budget_answered (KqSearchBudget *budget)
{
  if (++budget->rounds_in_time < budget->limit || budget->limit == KQ_SEARCHES_MAX)
    return;
  budget->limit++;
  budget->rounds_in_time = 0;
}

void
kq_search_budget_timeout (KqSearchBudget *budget, KqTime now)
{
  if (now - budget->decreased_at < DECREASE_INTERVAL_US)
    return;
  budget->decreased_at = now;
  budget->rounds_in_time = 0;
  budget->limit = budget->limit / 2 < KQ_SEARCHES_MIN ? KQ_SEARCHES_MIN : budget->limit / 2;
}
