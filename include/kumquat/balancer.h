/* The balancer process: distributes callers' datagrams over agents and returns their answers. */
#pragma once

#include <tevent.h>

#include "kumquat/control.h"
#include "kumquat/types.h"

#define KQ_STORE_ENDPOINTS_MAX 8
#define KQ_WORKERS_MAX         32

typedef struct KqBalancer KqBalancer;

/**
 * struct KqBalancerParams - settings of one balancer
 * @name: unique name of this instance
 * @failure_domain: failure domain of the instance
 * @data: address to which agents send answers; services listen on the same IP
 * @workers: number of threads that forward datagrams
 * @flows_max: maximum number of flows in the flow table
 * @flow_idle_us: time after which an unused flow is removed from the flow table
 * @control: as in KqControlParams
 * @store: (array): addresses of the store's HTTP gateway
 * @store_count: length of @store
 * @store_timeout_us: time limit of one call to the store
 * @http: address of the operator API and of /metrics
 * @operator_key: key with which operators authenticate
 * @operator_key_old: previous key, accepted during a key rotation; empty accepts nothing
 * @linger_us: time for which the balancer continues to forward after a shutdown was requested
 */
typedef struct
{
  char name[KQ_NAME_BYTES];
  char failure_domain[KQ_NAME_BYTES];
  KqAddress data;
  unsigned workers;
  unsigned flows_max;
  KqTime flow_idle_us;
  KqControlParams control;
  KqAddress store[KQ_STORE_ENDPOINTS_MAX];
  unsigned store_count;
  KqTime store_timeout_us;
  KqAddress http;
  char operator_key[128];
  char operator_key_old[128];
  KqTime linger_us;
} KqBalancerParams;

/** kq_balancer_new - Return: (owned by @parent) a running balancer, or NULL with @error set */
KqBalancer *kq_balancer_new (const void *parent, struct tevent_context *ev,
                             const KqBalancerParams *params, KqError *error);

/** kq_balancer_shutdown - reports not ready, leaves the membership, continues to forward for the
 * linger time, and then calls @done */
void kq_balancer_shutdown (KqBalancer *balancer, void (*done) (void *data), void *data);

/**
 * kq_balancer_reload - applies the settings that can change while the balancer runs
 *
 * These are the keys of control traffic and of operators and the linger time. A change of any other
 * is logged as needing a restart and has no effect.
 */
void kq_balancer_reload (KqBalancer *balancer, const KqBalancerParams *params);

/** kq_balancer_main - runs the program `kumquat-balancer`; Return: its exit status */
int kq_balancer_main (int argc, const char **argv);
