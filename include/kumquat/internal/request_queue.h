/* Short queue of requests that wait for a slot, served in descending order of worth per cost. */
#pragma once

#include "kumquat/internal/exchange.h"
#include "kumquat/internal/request_cost.h"

/**
 * struct KqRequestQueue - the queue
 * @list: waiting requests in order of arrival
 * @count: length of @list
 * @max: capacity of the queue
 * @fifo: serves in FIFO order regardless of worth and deadlines; a benchmark baseline
 */
typedef struct
{
  KqExchangeList list;
  unsigned count;
  unsigned max;
  bool fifo;
} KqRequestQueue;

void kq_request_queue_init (KqRequestQueue *queue, unsigned max, bool fifo);

/**
 * kq_request_queue_admits - decides whether a request may wait
 * @exchange: (borrowed): the request; its class and deadline are set
 * @slots: usable slots, at least 1
 * @victim: (out) (nullable): a waiting request to evict before this one is queued
 *
 * A request is refused when the requests ahead of it leave too little time to meet its deadline.
 * When the queue is full, the victim is a request of lower worth per cost, else one of a flow with
 * more queued requests, else one with a later deadline; if there is none, the request is refused.
 *
 * Return: whether the request may be queued once @victim is removed.
 */
bool kq_request_queue_admits (const KqRequestQueue *queue, const KqRequestCosts *costs,
                              const KqExchange *exchange, unsigned slots, KqTime now,
                              KqExchange **victim);

void kq_request_queue_add (KqRequestQueue *queue, KqExchange *exchange);
void kq_request_queue_remove (KqRequestQueue *queue, KqExchange *exchange);

/** kq_request_queue_select_next - Return: the request to start next, or NULL when the queue is
 * empty */
KqExchange *kq_request_queue_select_next (const KqRequestQueue *queue, const KqRequestCosts *costs);

/** kq_request_queue_find_infeasible - Return: a request that can no longer meet its deadline, or
 * NULL */
KqExchange *kq_request_queue_find_infeasible (const KqRequestQueue *queue,
                                              const KqRequestCosts *costs, KqTime now);
