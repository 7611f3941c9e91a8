/* State of one agent, shared by the files agent*.c. */
#pragma once

#include "kumquat/agent.h"
#include "kumquat/burn_history.h"
#include "kumquat/http_server.h"
#include "kumquat/internal/flow_sockets.h"
#include "kumquat/internal/return_path.h"
#include "kumquat/internal/target_probe.h"
#include "kumquat/metrics.h"
#include "kumquat/placement.h"
#include "kumquat/request_guard.h"
#include "kumquat/service_catalog.h"

/**
 * struct KqAgentCounters - counters of the agent itself; placement and request guard have their own
 */
typedef struct
{
  uint64_t datagrams_in;
  uint64_t datagrams_malformed;
  uint64_t wrong_service;
  uint64_t stale_incarnation;
  uint64_t sent_to_target;
  uint64_t target_unreachable;
  uint64_t answers_sent;
  uint64_t answers_without_path;
  uint64_t incarnations;
} KqAgentCounters;

/**
 * struct KqAgent - state of the process
 * @incarnation_state: talloc parent of the state of one incarnation: @placement, @guard and @flows;
 * NULL before the service is known
 * @announced_at: when this agent first announced its service
 * @draining_since: when the phase became draining
 * @current_via: balancer of the datagram being handled, for refusals of flows without a socket
 */
struct KqAgent
{
  KqAgentParams params;
  struct tevent_context *ev;
  KqControl *control;
  KqServiceCatalog *catalog;
  KqService service;
  KqHttpServer *http;
  KqMetrics *metrics;
  KqBurnHistory *burn;
  KqTargetProbe *probe;
  KqReturnPaths paths;
  KqRandom random;
  struct tevent_fd *data_event;
  int data_fd;
  void *incarnation_state;
  KqPeer self;
  KqPlacement *placement;
  KqRequestGuard *guard;
  KqFlowSockets *flows;
  const KqAddress *current_via;
  KqAgentCounters counters;
  KqTargetPhase phase;
  KqTime announced_at;
  KqTime draining_since;
  bool shutting_down;
  bool left;
  KqTime shutdown_at;
  KqTime left_at;
  void (*shutdown_done) (void *data);
  void *shutdown_data;
};

/* agent_data.c */
int kq_agent_data_open (KqAgent *agent, KqError *error);
int kq_agent_incarnation_start (KqAgent *agent);
void kq_agent_incarnation_end (KqAgent *agent);
void kq_agent_apply_limits (KqAgent *agent);

/* agent_http.c */
int kq_agent_http_open (KqAgent *agent, KqError *error);
