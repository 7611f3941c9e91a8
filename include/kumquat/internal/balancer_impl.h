/* State of one balancer, shared by the files balancer*.c. */
#pragma once

#include <pthread.h>
#include <stdatomic.h>

#include "kumquat/balancer.h"
#include "kumquat/flow_table.h"
#include "kumquat/internal/routes.h"
#include "kumquat/metrics.h"
#include "kumquat/operator_api.h"
#include "kumquat/store.h"

/**
 * struct KqBalancerCounters - counters that the workers share
 */
typedef struct
{
  _Atomic uint64_t requests_in;
  _Atomic uint64_t answers_in;
  _Atomic uint64_t refusals_in;
  _Atomic uint64_t malformed;
  _Atomic uint64_t unknown_service;
  _Atomic uint64_t no_target;
  _Atomic uint64_t resent;
  _Atomic uint64_t hops_exhausted;
  _Atomic uint64_t send_failed;
} KqBalancerCounters;

/**
 * struct KqForwarder - state that the workers of one balancer share
 * @data: address to which agents send answers
 * @routes_lock: protects @routes; acquired before the shard locks of @flows
 * @routes: (owned by the balancer): current snapshot
 * @routes_version: incremented with each snapshot, so that workers open and close service ports
 * @flows: flow table; its shard locks come second in the lock order
 */
typedef struct
{
  KqAddress data;
  pthread_rwlock_t routes_lock;
  KqRoutes *routes;
  _Atomic uint64_t routes_version;
  KqFlowTable *flows;
  KqBalancerCounters counters;
} KqForwarder;

typedef struct KqBalancerWorker KqBalancerWorker;

/** kq_balancer_worker_new - starts a worker thread; Return: (owned by @parent) the worker, or NULL
 * with @error set; freeing it stops and joins the thread */
KqBalancerWorker *kq_balancer_worker_new (const void *parent, KqForwarder *forwarder,
                                          KqError *error);

/** kq_balancer_worker_wake - wakes the thread to apply a new version of the routes */
void kq_balancer_worker_wake (KqBalancerWorker *worker);

struct KqBalancer
{
  KqBalancerParams params;
  struct tevent_context *ev;
  KqForwarder forwarder;
  KqBalancerWorker *workers[KQ_WORKERS_MAX];
  KqControl *control;
  KqServiceCatalog *catalog;
  KqStore *store;
  KqMetrics *metrics;
  KqOperatorApi *operators;
  bool watching;
  bool configured;
  bool shutting_down;
  KqTime shutdown_at;
  void (*shutdown_done) (void *data);
  void *shutdown_data;
};

/* balancer_http.c */
int kq_balancer_http_open (KqBalancer *balancer, KqError *error);
