/* The agent process beside one target: announces it, tracks its flows and limits its requests. */
#pragma once

#include <tevent.h>

#include "kumquat/control.h"
#include "kumquat/types.h"

typedef struct KqAgent KqAgent;

/**
 * struct KqAgentParams - settings of one agent
 * @name: unique name of the target
 * @failure_domain: failure domain of the instance
 * @service: name of the service that it serves
 * @data: address to which balancers and other agents send datagrams
 * @control: control address; peers, seeds and keys of control traffic as in KqControlParams
 * @http: address of /metrics, /healthz, /readyz and /v1/target
 * @target: address of the target
 * @weight: relative share of the flows
 * @echo_key: key of Echo values
 * @admit_load: load per thousand slots below which a new flow is admitted without asking other
 *   targets
 * @flow_idle_us: time without a datagram after which a flow is closed
 * @queue_max: maximum number of requests that wait for a slot
 * @ramp_us: duration of the slow start in which a cold target's usable slots grow to all slots
 * @refusals_not_run: the target guarantees that a request answered with 5.03 was not executed
 * @drain_limit_us: longest time for which a shutdown waits for open flows
 * @linger_us: time for which the agent continues to forward after it left the membership
 */
typedef struct
{
  char name[KQ_NAME_BYTES];
  char failure_domain[KQ_NAME_BYTES];
  char service[KQ_NAME_BYTES];
  KqAddress data;
  KqControlParams control;
  KqAddress http;
  KqAddress target;
  uint16_t weight;
  uint8_t echo_key[32];
  unsigned admit_load;
  KqTime flow_idle_us;
  unsigned queue_max;
  KqTime ramp_us;
  bool refusals_not_run;
  KqTime drain_limit_us;
  KqTime linger_us;
} KqAgentParams;

/** kq_agent_new - Return: (owned by @parent) a running agent, or NULL with @error set */
KqAgent *kq_agent_new (const void *parent, struct tevent_context *ev, const KqAgentParams *params,
                       KqError *error);

/**
 * kq_agent_shutdown - starts a graceful shutdown
 *
 * New flows are placed on other targets at once. When no request is running and no flow is open, or
 * the drain limit has passed, the agent leaves the membership. @done is called after the linger
 * time that follows.
 */
void kq_agent_shutdown (KqAgent *agent, void (*done) (void *data), void *data);

/**
 * kq_agent_reload - applies the settings that can change while the agent runs
 *
 * These are the keys of control traffic and of Echo values, the length of the queue, the drain
 * limit and the linger time. A change of any other is logged as needing a restart and has no
 * effect.
 */
void kq_agent_reload (KqAgent *agent, const KqAgentParams *params);

/** kq_agent_main - runs the program `kumquat-agent`; Return: its exit status */
int kq_agent_main (int argc, const char **argv);
