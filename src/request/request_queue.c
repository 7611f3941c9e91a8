/* The queue is short (tens of requests), so every decision walks over all of it.
 *
 * When more comes than the target can do, the order that gives the most worth is the one of worth
 * for each unit of slot time (the greedy order of the fractional knapsack). The queue serves in
 * that order, and when it is full the request at the end of that order leaves. Requests that
 * cannot meet their deadline are refused as soon as that is known: they would take a slot for an
 * answer that nobody waits for. Without overload the queue is empty and the order does not matter.
 */
#include "kumquat/internal/request_queue.h"

#define FLOW_COUNTERS 512

void
kq_request_queue_init (KqRequestQueue *queue, unsigned max, bool first_in_first_out)
{
  TAILQ_INIT (&queue->list);
  queue->count = 0;
  queue->max = max;
  queue->first_in_first_out = first_in_first_out;
}

/* Whether @a is served before @b; equal worth is served by deadline. */
static bool
goes_before (const KqRequestCosts *costs, const KqExchange *a, const KqExchange *b)
{
  double density_a = kq_request_costs_density (costs, a->class_index);
  double density_b = kq_request_costs_density (costs, b->class_index);
  if (density_a != density_b)
    return density_a > density_b;
  return a->deadline < b->deadline;
}

static KqTime
expected_us (const KqRequestCosts *costs, const KqExchange *exchange)
{
  return (KqTime)costs->service_us[exchange->class_index];
}

static unsigned
count_flow (const KqRequestQueue *queue, const KqFlowKey *key)
{
  const KqExchange *other;
  unsigned count = 0;
  TAILQ_FOREACH (other, &queue->list, entry)
  count += kq_flow_key_equal (&other->key, key);
  return count;
}

/* The last request of the flow that has most places, if they are at least two more than those of
 * the flow of @exchange, and if what leaves has no more worth for its cost: one caller cannot fill
 * the queue against the others. Places are counted by a short hash first; two flows that share one
 * counter can only hide this rule for a moment, as the flow that is found is counted exactly. */
static KqExchange *
find_crowding (const KqRequestQueue *queue, const KqRequestCosts *costs, const KqExchange *exchange)
{
  uint16_t places[FLOW_COUNTERS] = { 0 };
  double density = kq_request_costs_density (costs, exchange->class_index);
  unsigned most = 0;
  KqExchange *found = NULL;
  KqExchange *other;
  TAILQ_FOREACH (other, &queue->list, entry)
  places[kq_flow_key_hash (&other->key) % FLOW_COUNTERS]++;
  TAILQ_FOREACH (other, &queue->list, entry)
  {
    unsigned count = places[kq_flow_key_hash (&other->key) % FLOW_COUNTERS];
    if (kq_request_costs_density (costs, other->class_index) > density || count < most)
      continue;
    found = other;
    most = count;
  }
  if (found == NULL || count_flow (queue, &found->key) < count_flow (queue, &exchange->key) + 2)
    return NULL;
  return found;
}

/* Who leaves a full queue for @exchange, or NULL when nobody does. @last is the last of the order
 * behind @exchange, or NULL. */
static KqExchange *
choose_victim (const KqRequestQueue *queue, const KqRequestCosts *costs, const KqExchange *exchange,
               KqExchange *last)
{
  if (last != NULL && kq_request_costs_density (costs, last->class_index) <
                          kq_request_costs_density (costs, exchange->class_index))
    return last;
  KqExchange *crowding = find_crowding (queue, costs, exchange);
  return crowding != NULL ? crowding : last;
}

bool
kq_request_queue_admits (const KqRequestQueue *queue, const KqRequestCosts *costs,
                         const KqExchange *exchange, unsigned slots, KqTime now,
                         KqExchange **victim)
{
  KqExchange *other;
  KqExchange *last = NULL;
  KqTime ahead_us = 0;
  *victim = NULL;
  if (queue->first_in_first_out)
    return queue->count < queue->max;
  TAILQ_FOREACH (other, &queue->list, entry)
  {
    if (!goes_before (costs, exchange, other))
      ahead_us += expected_us (costs, other);
    else if (last == NULL || goes_before (costs, last, other))
      last = other;
  }
  KqTime needed_us = kq_request_costs_needed_us (costs, exchange->class_index);
  if (now + ahead_us / slots + needed_us > exchange->deadline)
    return false;
  if (queue->count < queue->max)
    return true;
  *victim = choose_victim (queue, costs, exchange, last);
  return *victim != NULL;
}

void
kq_request_queue_add (KqRequestQueue *queue, KqExchange *exchange)
{
  TAILQ_INSERT_TAIL (&queue->list, exchange, entry);
  queue->count++;
}

void
kq_request_queue_remove (KqRequestQueue *queue, KqExchange *exchange)
{
  TAILQ_REMOVE (&queue->list, exchange, entry);
  queue->count--;
}

KqExchange *
kq_request_queue_next (const KqRequestQueue *queue, const KqRequestCosts *costs)
{
  KqExchange *best = TAILQ_FIRST (&queue->list);
  KqExchange *other;
  if (queue->first_in_first_out)
    return best;
  TAILQ_FOREACH (other, &queue->list, entry)
  if (goes_before (costs, other, best))
    best = other;
  return best;
}

KqExchange *
kq_request_queue_late (const KqRequestQueue *queue, const KqRequestCosts *costs, KqTime now)
{
  KqExchange *exchange;
  TAILQ_FOREACH (exchange, &queue->list, entry)
  {
    KqTime needed_us = 0;
    if (!queue->first_in_first_out)
      needed_us = kq_request_costs_needed_us (costs, exchange->class_index);
    if (now + needed_us > exchange->deadline)
      return exchange;
  }
  return NULL;
}
