#include "kumquat/internal/search_budget.h"

/* Rounds that were sent together time out together and reduce the limit only once. */
#define SHRINK_EVERY_US (100 * KQ_MS)

void
kq_search_budget_init (KqSearchBudget *budget)
{
  *budget = (KqSearchBudget){ .limit = KQ_SEARCHES_FIRST, .shrunk_at = -SHRINK_EVERY_US };
}

bool
kq_search_budget_start (KqSearchBudget *budget)
{
  if (budget->running >= budget->limit)
    return false;
  budget->running++;
  return true;
}

void
kq_search_budget_end (KqSearchBudget *budget)
{
  if (budget->running > 0)
    budget->running--;
}

void
kq_search_budget_answered (KqSearchBudget *budget)
{
  if (++budget->in_time < budget->limit || budget->limit == KQ_SEARCHES_MOST)
    return;
  budget->limit++;
  budget->in_time = 0;
}

void
kq_search_budget_late (KqSearchBudget *budget, KqTime now)
{
  if (now - budget->shrunk_at < SHRINK_EVERY_US)
    return;
  budget->shrunk_at = now;
  budget->in_time = 0;
  budget->limit = budget->limit / 2 < KQ_SEARCHES_LEAST ? KQ_SEARCHES_LEAST : budget->limit / 2;
}
