/* The process beside one target: announces it, holds its flows and guards its requests. */
#pragma once

#include <tevent.h>

#include "kumquat/control.h"
#include "kumquat/types.h"

typedef struct KqAgent KqAgent;

/**
 * struct KqAgentParams - settings of one agent
 * @name: unique name of the target
 * @failure_domain: where it runs
 * @service: name of the service that it serves
 * @data: where balancers and other agents send data datagrams
 * @control: control address; peers, seeds and keys of control traffic as in KqControlParams
 * @http: where /metrics, /healthz, /readyz and /v1/target are served
 * @target: the target's own address
 * @weight: relative share of the flows
 * @echo_key: key of Echo values
 * @admit_load: a new flow stays here without asking others while the load is below this
 * @flow_idle_us: a flow without a datagram for so long is closed
 * @queue_max: requests that wait for a slot
 * @ramp_us: time in which a cold target's usable slots grow to all
 * @refusals_not_run: the target promises that a request which it answers with 5.03 did not run
 * @drain_limit_us: how long a shutdown waits for open flows
 * @linger_us: how long it forwards for others after it left
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
 * New flows go elsewhere at once. @done is called when no request runs and no flow is open, or the
 * drain limit has passed, and the linger time after that is over.
 */
void kq_agent_shutdown (KqAgent *agent, void (*done) (void *data), void *data);

/**
 * kq_agent_reload - takes the settings that a running agent can take
 *
 * These are the keys of control traffic and of Echo values, the length of the queue, the drain
 * limit and the linger time. A change of any other is logged as needing a restart and has no
 * effect.
 */
void kq_agent_reload (KqAgent *agent, const KqAgentParams *params);

/** kq_agent_main - runs the program `kumquat-agent`; Return: its exit status */
int kq_agent_main (int argc, const char **argv);
