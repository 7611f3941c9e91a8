/* HTTP interface for operators: plan, confirm, status, report, metrics, health. */
#pragma once

#include "kumquat/control.h"
#include "kumquat/http_server.h"
#include "kumquat/metrics.h"
#include "kumquat/service_catalog.h"
#include "kumquat/store.h"

#define KQ_OPERATOR_KEYS_MAX 2 /* the new and the old key, for key rotation without downtime */

typedef struct KqOperatorApi KqOperatorApi;

/**
 * struct KqOperatorParams - parameters of the interface; pointers are borrowed for its lifetime
 * @listen: address to listen on
 * @keys: (array): accepted keys; an empty string accepts nothing
 * @key_count: length of @keys; with 0, anybody who reaches @listen may change the configuration
 * @store: the platform's store
 * @catalog: services in force in this process
 * @metrics: the process's registry, for the interface's own counters
 */
typedef struct
{
  KqAddress listen;
  const char *keys[KQ_OPERATOR_KEYS_MAX];
  unsigned key_count;
  KqStore *store;
  const KqServiceCatalog *catalog;
  KqMetrics *metrics;
} KqOperatorParams;

/**
 * struct KqOperatorOps - callbacks into the process that runs the interface
 * @members: Return: (borrowed until the next event) live members
 * @in_force: as kq_control_in_force()
 * @format_metrics: Return: (owned by @parent) Prometheus text
 * @not_ready: Return: (borrowed) the reason why the process is not ready for traffic, or NULL when
 * it is
 */
typedef struct
{
  const KqMember *(*members) (unsigned *count, void *data);
  int (*in_force) (uint32_t service, KqDocumentStatus *in_force, void *data);
  char *(*format_metrics) (const void *parent, void *data);
  const char *(*not_ready) (void *data);
} KqOperatorOps;

/**
 * kq_operator_api_new - starts the interface
 *
 * Free it together with @params->store, without running the event loop in between.
 *
 * Return: (owned by @parent) the interface, or NULL with @error set.
 */
KqOperatorApi *kq_operator_api_new (const void *parent, struct tevent_context *ev,
                                    const KqOperatorParams *params, const KqOperatorOps *ops,
                                    void *data, KqError *error);

/** kq_operator_api_port - Return: the port that the interface listens on */
uint16_t kq_operator_api_port (const KqOperatorApi *api);
