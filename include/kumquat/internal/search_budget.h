/* Limit of concurrent searches for the owners of streams. Late answers mean that the agents, or the
 * network link of this instance, are overloaded: each further search only delays the running ones,
 * and its frames have to be sent again. So the limit is halved when a round of queries is not
 * answered in time, and increased by one after as many rounds as the limit were answered in time.
 * This bounds the load after a power loss, when the callers of all open streams send at once. */
#pragma once

#include "kumquat/types.h"

#define KQ_SEARCHES_INITIAL 64   /* of 12 queries of 90 bytes: 70 kB, 50 ms of a 10 Mbit/s link */
#define KQ_SEARCHES_MIN     4    /* enough to detect that answers are in time again */
#define KQ_SEARCHES_MAX     1024 /* more streams are not rerouted at once */

/**
 * struct KqSearchBudget - additive increase, multiplicative decrease
 * @limit: searches that may run at once
 * @running: searches that run
 * @rounds_in_time: rounds answered in time since the last change of the limit
 * @decreased_at: when the limit was last halved
 */
typedef struct
{
  unsigned limit;
  unsigned running;
  unsigned rounds_in_time;
  KqTime decreased_at;
} KqSearchBudget;

void kq_search_budget_init (KqSearchBudget *budget);

/** kq_search_budget_acquire - Return: whether a search may start; if so, it counts as running */
bool kq_search_budget_acquire (KqSearchBudget *budget);

/** kq_search_budget_release - records the end of a running search */
void kq_search_budget_release (KqSearchBudget *budget);

/** kq_search_budget_answered - records that all queries of a round were answered in time */
void kq_search_budget_answered (KqSearchBudget *budget);

/** kq_search_budget_timeout - records that most queries of a round were not answered in time */
void kq_search_budget_timeout (KqSearchBudget *budget, KqTime now);
