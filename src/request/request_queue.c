/* The queue is short (tens of requests), so every decision scans all of it.
 *
 * Under overload, the total worth of the answered requests is maximized by serving them in
 * descending order of worth per unit of slot time (the greedy solution of the fractional knapsack
 * problem). The queue is served in that order, and when it is full the last request in that order
 * is evicted. A request that cannot meet its deadline is refused as soon as this is known: it would
 * occupy a slot for an answer that its caller no longer waits for. Without overload the queue is
 * empty and the order does not matter. */
#include "kumquat/internal/request_queue.h"

#define FLOW_BUCKETS 512

void
kq_request_queue_init (KqRequestQueue *queue, unsigned max, bool fifo)
{
  TAILQ_INIT (&queue->list);
  queue->count = 0;
  queue->max = max;
  queue->fifo = fifo;
}

/* Return: whether @a is served before @b; ties are resolved by the earlier deadline. */
static bool
is_served_before (const KqRequestCosts *costs, const KqExchange *a, const KqExchange *b)
{
  double density_a = kq_request_costs_worth_density (costs, a->class_index);
  double density_b = kq_request_costs_worth_density (costs, b->class_index);
  if (density_a != density_b)
    return density_a > density_b;
  return a->deadline < b->deadline;
}

static KqTime
expected_service_us (const KqRequestCosts *costs, const KqExchange *exchange)
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

/* Fairness between flows: finds the last request of the flow with the most queued requests. It may
 * be evicted if its flow has at least two more queued requests than the flow of @exchange and if
 * its worth density is not higher, so that a single caller cannot monopolize the queue. Requests
 * are first counted per hash bucket; the flow found is then counted exactly, so a collision can
 * delay the eviction but never evicts a request wrongly. */
static KqExchange *
find_fairness_victim (const KqRequestQueue *queue, const KqRequestCosts *costs,
                      const KqExchange *exchange)
{
  uint16_t queued_per_bucket[FLOW_BUCKETS] = { 0 };
  double density = kq_request_costs_worth_density (costs, exchange->class_index);
  unsigned max_count = 0;
  KqExchange *found = NULL;
  KqExchange *other;
  TAILQ_FOREACH (other, &queue->list, entry)
  queued_per_bucket[kq_flow_key_hash (&other->key) % FLOW_BUCKETS]++;
  TAILQ_FOREACH (other, &queue->list, entry)
  {
    unsigned count = queued_per_bucket[kq_flow_key_hash (&other->key) % FLOW_BUCKETS];
    if (kq_request_costs_worth_density (costs, other->class_index) > density || count < max_count)
      continue;
    found = other;
    max_count = count;
  }
  if (found == NULL || count_flow (queue, &found->key) < count_flow (queue, &exchange->key) + 2)
    return NULL;
  return found;
}

/* Return: the request to evict from a full queue for @exchange, or NULL when none is. @last is the
 * last request in service order if it goes after @exchange, else NULL. */
static KqExchange *
choose_victim (const KqRequestQueue *queue, const KqRequestCosts *costs, const KqExchange *exchange,
               KqExchange *last)
{
  if (last != NULL && kq_request_costs_worth_density (costs, last->class_index) <
                          kq_request_costs_worth_density (costs, exchange->class_index))
    return last;
  KqExchange *fairness_victim = find_fairness_victim (queue, costs, exchange);
  return fairness_victim != NULL ? fairness_victim : last;
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
  if (queue->fifo)
    return queue->count < queue->max;
  TAILQ_FOREACH (other, &queue->list, entry)
  {
    if (!is_served_before (costs, exchange, other))
      ahead_us += expected_service_us (costs, other);
    else if (last == NULL || is_served_before (costs, last, other))
      last = other;
  }
  KqTime needed_us = kq_request_costs_time_bound_us (costs, exchange->class_index);
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
kq_request_queue_select_next (const KqRequestQueue *queue, const KqRequestCosts *costs)
{
  KqExchange *best = TAILQ_FIRST (&queue->list);
  KqExchange *other;
  if (queue->fifo)
    return best;
  TAILQ_FOREACH (other, &queue->list, entry)
  if (is_served_before (costs, other, best))
    best = other;
  return best;
}

KqExchange *
kq_request_queue_find_infeasible (const KqRequestQueue *queue, const KqRequestCosts *costs,
                                  KqTime now)
{
  KqExchange *exchange;
  TAILQ_FOREACH (exchange, &queue->list, entry)
  {
    KqTime needed_us = 0;
    if (!queue->fifo)
      needed_us = kq_request_costs_time_bound_us (costs, exchange->class_index);
    if (now + needed_us > exchange->deadline)
      return exchange;
  }
  return NULL;
}
