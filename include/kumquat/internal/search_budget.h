/* How many searches for holders of streams run at once. Answers that come late mean that the
 * agents, or this instance's own link, cannot carry more: each further search only delays those
 * that run, and its frames are sent again. So the limit is halved when a round of questions is not
 * answered in time, and grows by one when as many rounds as the limit were. It answers the load
 * after a loss of power, when the callers of all open streams come at once. */
#pragma once

#include "kumquat/types.h"

#define KQ_SEARCHES_FIRST 64   /* of 12 questions of 90 bytes: 70 kB, 50 ms of a 10 Mbit/s link */
#define KQ_SEARCHES_LEAST 4    /* enough to learn that answers are in time again */
#define KQ_SEARCHES_MOST  1024 /* more streams do not change hands at once */

/**
 * struct KqSearchBudget - additive increase, multiplicative decrease
 * @limit: searches that may run at once
 * @running: searches that run
 * @in_time: rounds answered in time since the limit changed
 * @shrunk_at: when the limit was halved last
 */
typedef struct
{
  unsigned limit;
  unsigned running;
  unsigned in_time;
  KqTime shrunk_at;
} KqSearchBudget;

void kq_search_budget_init (KqSearchBudget *budget);

/** kq_search_budget_start - Return: whether one more search may run; it counts as running then */
bool kq_search_budget_start (KqSearchBudget *budget);

/** kq_search_budget_end - a search that was started has ended */
void kq_search_budget_end (KqSearchBudget *budget);

/** kq_search_budget_answered - all questions of a round were answered in time */
void kq_search_budget_answered (KqSearchBudget *budget);

/** kq_search_budget_late - most questions of a round were not answered in time */
void kq_search_budget_late (KqSearchBudget *budget, KqTime now);
