/* Callers, a lossy network, agents with a request guard and targets, all in one thread on a model
 * clock. Used to test and to measure the request guard under faults. */
#pragma once

#include "kumquat/coap_message.h"
#include "kumquat/request_guard.h"

#define KQ_MODEL_AGENTS_MAX 8

/**
 * enum KqModelOutcome - what a caller knows in the end
 * @KQ_MODEL_PENDING: nothing yet
 * @KQ_MODEL_ANSWERED: the target's answer
 * @KQ_MODEL_NOT_RUN: told that it did not run
 * @KQ_MODEL_UNKNOWN: told that it may have run
 * @KQ_MODEL_TIMED_OUT: told nothing until the deadline
 */
typedef enum
{
  KQ_MODEL_PENDING,
  KQ_MODEL_ANSWERED,
  KQ_MODEL_NOT_RUN,
  KQ_MODEL_UNKNOWN,
  KQ_MODEL_TIMED_OUT
} KqModelOutcome;

/**
 * struct KqModelOp - one request of a caller
 * @id: index of the request
 * @method: code of the request
 * @class_name: (nullable) (borrowed): request class
 * @service_us: how long the target takes
 * @deadline_us: how long the caller waits
 * @flow: number of the flow
 * @attempt: 0, or the number of the retry that a test made
 * @outcome: what the caller knows
 * @started: when it was sent first
 * @ended: when @outcome was set
 * @runs: how often a target ran it
 * @said_not_run: a caller was told that it did not run
 * @wrong_answer: a caller got another request's answer
 * @phase: 0 before, 1 after the Echo value came
 * @echo: the value
 * @echo_size: its bytes
 * @message_id: of the latest datagram
 * @sends: datagrams sent in this phase
 */
typedef struct
{
  unsigned id;
  uint8_t method;
  const char *class_name;
  KqTime service_us;
  KqTime deadline_us;
  unsigned flow;
  unsigned attempt;
  KqModelOutcome outcome;
  KqTime started;
  KqTime ended;
  unsigned runs;
  bool said_not_run;
  bool wrong_answer;
  unsigned phase;
  uint8_t echo[KQ_COAP_ECHO_BYTES];
  uint8_t echo_size;
  uint16_t message_id;
  unsigned sends;
} KqModelOp;

/**
 * struct KqModelParams - how the model behaves
 * @seed: of the generator
 * @agents: agents, each with one target
 * @loss: share of datagrams between callers and agents that is lost
 * @duplicate: share that comes twice
 * @straggler: share that is late by up to @straggler_us
 * @straggler_us: see @straggler
 * @misroute: share of a caller's datagrams that reach an agent which does not hold the flow
 * @delay_us: mean delay of one way between callers and agents
 * @workers: requests that run at once in a target
 * @shed_above: requests in a target above which it refuses; 0 for never
 * @separate: share of answers that come as a confirmable message of their own
 * @answer_loss: share of the target's answers that is lost
 * @answer_duplicate: share that comes twice
 * @ignores_cancel: the target finishes cancelled requests
 * @resend_us: time between a caller's sends of a request; 0 for no repeats
 * @guard: parameters of every guard; target, incarnation, key and seed are filled in
 */
typedef struct
{
  uint64_t seed;
  unsigned agents;
  double loss;
  double duplicate;
  double straggler;
  KqTime straggler_us;
  double misroute;
  KqTime delay_us;
  unsigned workers;
  unsigned shed_above;
  double separate;
  double answer_loss;
  double answer_duplicate;
  bool ignores_cancel;
  KqTime resend_us;
  KqRequestGuardParams guard;
} KqModelParams;

typedef struct KqModelWorld KqModelWorld;
typedef void (*KqModelAction) (KqModelWorld *world, void *data);

/**
 * struct KqModelCheck - broken promises and outcomes of all requests
 * @doubled: requests other than idempotent ones that ran more than once
 * @false_not_run: requests that ran although a caller was told otherwise
 * @wrong_answers: callers that got another request's answer
 * @false_answers: callers that got an answer to a request that did not run
 * @outcomes: requests by outcome
 * @runs: runs of all requests
 */
typedef struct
{
  unsigned doubled;
  unsigned false_not_run;
  unsigned wrong_answers;
  unsigned false_answers;
  unsigned outcomes[KQ_MODEL_TIMED_OUT + 1];
  unsigned runs;
} KqModelCheck;

/** kq_model_new - Return: (owned by @parent) a world at time 0 with idle agents */
KqModelWorld *kq_model_new (const void *parent, const KqModelParams *params);

/** kq_model_request - sends a request at @at; Return: (owned by @world) it, valid to the end */
KqModelOp *kq_model_request (KqModelWorld *world, KqTime at, const KqModelOp *op);

/** kq_model_at - runs an action at a time */
void kq_model_at (KqModelWorld *world, KqTime at, KqModelAction action, void *data);

/** kq_model_on_end - calls @ended whenever a request's outcome is known */
void kq_model_on_end (KqModelWorld *world,
                      void (*ended) (KqModelWorld *world, KqModelOp *op, void *data), void *data);

/** kq_model_run - goes on until @until */
void kq_model_run (KqModelWorld *world, KqTime until);

KqTime kq_model_now (const KqModelWorld *world);
KqRandom *kq_model_random (KqModelWorld *world);
unsigned kq_model_op_count (const KqModelWorld *world);
KqModelOp *kq_model_op (const KqModelWorld *world, unsigned id);
KqRequestGuardStats kq_model_stats (const KqModelWorld *world, unsigned agent);

/** kq_model_target_load - Return: requests that ever reached the agent's target */
uint64_t kq_model_target_requests (const KqModelWorld *world, unsigned agent);

/** kq_model_crash - ends an agent's life; its next one starts after @down_us */
void kq_model_crash (KqModelWorld *world, unsigned agent, KqTime down_us);

/** kq_model_freeze_agent - an agent does nothing for a while and then takes all that came */
void kq_model_freeze_agent (KqModelWorld *world, unsigned agent, KqTime duration_us);

/** kq_model_freeze_target - likewise for its target */
void kq_model_freeze_target (KqModelWorld *world, unsigned agent, KqTime duration_us);

/** kq_model_set_workers - how many requests run at once in the agent's target from now on */
void kq_model_set_workers (KqModelWorld *world, unsigned agent, unsigned workers);

/** kq_model_move_flow - another agent holds the flow from now on */
void kq_model_move_flow (KqModelWorld *world, unsigned flow, unsigned agent);

/** kq_model_drain - tells an agent's guard that its target is about to leave */
void kq_model_drain (KqModelWorld *world, unsigned agent);

/** kq_model_check - looks at all requests so far */
KqModelCheck kq_model_check (const KqModelWorld *world);
