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
 * struct KqBalancerCounters - what all workers count together
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
 * struct KqForwarder - what the workers of one balancer share
 * @data: address that agents answer to
 * @routes_lock: guards @routes; first in the lock order
 * @routes: (owned by the balancer) current snapshot
 * @routes_version: grows with each snapshot, so that workers open and close service ports
 * @flows: whose shard locks come second
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

/** kq_balancer_worker_new - starts a thread; Return: (owned by @parent) it, or NULL with @error
 * set; freeing it stops and joins the thread */
KqBalancerWorker *kq_balancer_worker_new (const void *parent, KqForwarder *forwarder,
                                          KqError *error);

/** kq_balancer_worker_wake - makes the thread look at the routes again */
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
