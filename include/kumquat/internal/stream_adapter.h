/* What a platform's adapter gives to the daemons that balance streams. */
#pragma once

#include "kumquat/internal/route_table.h"
#include "kumquat/internal/store_message.h"
#include "kumquat/internal/target_life.h"

/**
 * struct KqStreamAdapter - the platform's formats
 * @codec: of its segments
 * @store: of its store
 * @routes_key: key of the configuration in the store
 * @ready_path: where it asks whether an instance takes traffic
 * @decode_routes: reads the value of @routes_key. Return: (owned by @parent) the routes, or NULL
 *   with @error set
 * @decode_report: reads a call of a target. Return: 0, or -1 with @error set: KQ_ERROR_NOT_FOUND
 *   when it is no such call
 */
typedef struct
{
  const KqSegmentCodec *codec;
  const KqStoreDialect *store;
  const char *routes_key;
  const char *ready_path;
  KqRouteTable *(*decode_routes) (const void *parent, const char *bytes, size_t size,
                                  KqError *error);
  int (*decode_report) (const char *method, const char *path, const char *body, size_t size,
                        KqTargetReport *report, KqError *error);
} KqStreamAdapter;

/** kq_stream_balancer_main - the whole main of a balancer of streams; Return: the exit status */
int kq_stream_balancer_main (int argc, const char **argv, const KqStreamAdapter *adapter);

/** kq_stream_agent_main - the whole main of an agent of streams; Return: the exit status */
int kq_stream_agent_main (int argc, const char **argv, const KqStreamAdapter *adapter);
