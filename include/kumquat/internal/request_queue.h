/* Short queue of requests that wait for a slot, ordered by worth for each unit of cost. */
#pragma once

#include "kumquat/internal/exchange.h"
#include "kumquat/internal/request_cost.h"

/**
 * struct KqRequestQueue - the queue
 * @list: waiting requests in order of arrival
 * @count: length of @list
 * @max: most requests that wait
 * @first_in_first_out: ignores worth and deadlines; a baseline
 */
typedef struct
{
  KqExchangeList list;
  unsigned count;
  unsigned max;
  bool first_in_first_out;
} KqRequestQueue;

void kq_request_queue_init (KqRequestQueue *queue, unsigned max, bool first_in_first_out);

/**
 * kq_request_queue_admits - decides whether a request may wait
 * @exchange: (borrowed): the request, with class and deadline set
 * @slots: usable slots, at least 1
 * @victim: (out) (nullable): a waiting request of less worth that must leave first
 *
 * A request is not admitted when those that go before it leave no time until its deadline. When the
 * queue is full, one of less worth for its cost leaves, else one of a flow that has more places,
 * else one with a later deadline; without any of these the request is not admitted.
 *
 * Return: whether it may wait, after @victim was removed.
 */
bool kq_request_queue_admits (const KqRequestQueue *queue, const KqRequestCosts *costs,
                              const KqExchange *exchange, unsigned slots, KqTime now,
                              KqExchange **victim);

void kq_request_queue_add (KqRequestQueue *queue, KqExchange *exchange);
void kq_request_queue_remove (KqRequestQueue *queue, KqExchange *exchange);

/** kq_request_queue_next - Return: the request that gets the next slot, or NULL when none waits */
KqExchange *kq_request_queue_next (const KqRequestQueue *queue, const KqRequestCosts *costs);

/** kq_request_queue_late - Return: a request that cannot meet its deadline any more, or NULL */
KqExchange *kq_request_queue_late (const KqRequestQueue *queue, const KqRequestCosts *costs,
                                   KqTime now);
