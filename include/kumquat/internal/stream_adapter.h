/* Interface through which a platform supplies its formats to the balancer and the agent of
 * streams. */
#pragma once

#include "kumquat/internal/route_table.h"
#include "kumquat/internal/store_message.h"
#include "kumquat/internal/stream_features.h"
#include "kumquat/internal/target_process.h"

/**
 * struct KqStreamAdapter - the platform's formats
 * @codec: decodes and encodes the platform's segments
 * @store: protocol of the platform's store
 * @operator_prefix: what the operators write to the store starts with it
 * @routes_key: key of the configuration in the store
 * @evacuation_prefix: keys that name an evacuated failure domain after this prefix
 * @ready_path: HTTP path of the platform's readiness check
 * @decode_routes: decodes the value of @routes_key. Return: (owned by @parent) the routes, or NULL
 *   with @error set
 * @decode_report: decodes the HTTP request with which a target reports its state. Return: 0, or -1
 *   with @error set: KQ_ERROR_NOT_FOUND when @method and @path are not those of a report
 * @requested_features: Return: the optional parts that the deployment asks for
 */
typedef struct KqStreamAdapter
{
  const KqSegmentCodec *codec;
  const KqStoreProtocol *store;
  const char *operator_prefix;
  const char *routes_key;
  const char *evacuation_prefix;
  const char *ready_path;
  KqRouteTable *(*decode_routes) (const void *parent, const char *bytes, size_t size,
                                  KqError *error);
  int (*decode_report) (const char *method, const char *path, const char *body, size_t size,
                        KqTargetReport *report, KqError *error);
  KqStreamFeatures (*requested_features) (void);
} KqStreamAdapter;

/** kq_stream_balancer_main - runs a balancer of streams; Return: its exit status */
int kq_stream_balancer_main (int argc, const char **argv, const KqStreamAdapter *adapter);

/** kq_stream_agent_main - runs an agent of streams; Return: its exit status */
int kq_stream_agent_main (int argc, const char **argv, const KqStreamAdapter *adapter);
