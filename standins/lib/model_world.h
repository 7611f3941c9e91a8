/* Discrete-event simulation of callers, a lossy network, agents with a request guard and targets,
 * in one thread. Used to test and to measure the request guard under faults. */
#pragma once

#include "kumquat/coap_message.h"
#include "kumquat/request_guard.h"

#define KQ_MODEL_AGENTS_MAX 8

/**
 * enum KqModelOutcome - result of a request as its caller sees it
 * @KQ_MODEL_PENDING: no result yet
 * @KQ_MODEL_ANSWERED: the target answered
 * @KQ_MODEL_NOT_RUN: refused: the request did not run
 * @KQ_MODEL_UNKNOWN: failed: the request may have run
 * @KQ_MODEL_TIMED_OUT: no answer before the deadline
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
 * struct KqModelOp - a request of a caller
 * @id: index of the request
 * @method: CoAP method code
 * @class_name: (nullable) (borrowed): request class
 * @service_us: service time in the target
 * @deadline_us: how long the caller waits for an answer
 * @flow: number of the flow
 * @attempt: 0, or the number of the retry; set by the test
 * @outcome: result as the caller sees it
 * @started: when the first datagram was sent
 * @ended: when @outcome was set
 * @runs: how often targets executed it
 * @reported_not_run: an answer said that the request did not run
 * @wrong_answer: a caller received the answer to another request
 * @phase: 0 before an Echo challenge was received, 1 after it
 * @echo: (array): Echo value of the challenge
 * @echo_size: size of @echo
 * @message_id: message ID of the latest datagram
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
  bool reported_not_run;
  bool wrong_answer;
  unsigned phase;
  uint8_t echo[KQ_COAP_ECHO_BYTES];
  uint8_t echo_size;
  uint16_t message_id;
  unsigned sends;
} KqModelOp;

/**
 * struct KqModelParams - parameters of a simulation
 * @seed: seed of the random number generator
 * @agents: number of agents, each with one target
 * @loss: share of the datagrams between callers and agents that are lost
 * @duplicate: share of those datagrams that arrive twice
 * @straggler: share of those datagrams that are delayed by up to @straggler_us in addition
 * @straggler_us: maximum additional delay
 * @misroute: share of a caller's datagrams that go to a random agent instead of the flow's owner
 * @delay_us: mean one-way delay between callers and agents
 * @workers: requests that a target runs concurrently
 * @shed_above: number of requests in a target from which on it refuses more; 0 for no limit
 * @separate: share of answers sent as a separate confirmable response
 * @answer_loss: share of the target's answers that are lost
 * @answer_duplicate: share of the target's answers that are sent twice
 * @ignores_cancel: targets finish cancelled requests
 * @resend_us: initial interval between a caller's sends of a request; 0 for no retransmission
 * @guard: parameters of every request guard; target, incarnation, key and seed are filled in
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

typedef struct KqModel KqModel;
typedef void (*KqModelAction) (KqModel *model, void *data);

/**
 * struct KqModelCheck - violated guarantees and outcomes of all requests
 * @duplicate_runs: non-idempotent requests (POST) that ran more than once
 * @false_not_run: requests other than GET that ran although an answer said that they did not
 * @wrong_answers: requests whose caller received the answer to another request
 * @false_answers: requests that were answered but did not run
 * @outcomes: (array): number of requests by outcome
 * @runs: total number of executions
 */
typedef struct
{
  unsigned duplicate_runs;
  unsigned false_not_run;
  unsigned wrong_answers;
  unsigned false_answers;
  unsigned outcomes[KQ_MODEL_TIMED_OUT + 1];
  unsigned runs;
} KqModelCheck;

/** kq_model_new - Return: (owned by @parent) a simulation at time 0 with idle agents */
KqModel *kq_model_new (const void *parent, const KqModelParams *params);

/** kq_model_request - schedules a copy of @op at @at; Return: (owned by @model) the copy */
KqModelOp *kq_model_request (KqModel *model, KqTime at, const KqModelOp *op);

/** kq_model_at - schedules a call of @action at @at */
void kq_model_at (KqModel *model, KqTime at, KqModelAction action, void *data);

/** kq_model_on_end - sets a callback for requests whose outcome becomes known */
void kq_model_on_end (KqModel *model, void (*ended) (KqModel *model, KqModelOp *op, void *data),
                      void *data);

/** kq_model_run - advances simulated time to @until */
void kq_model_run (KqModel *model, KqTime until);

KqTime kq_model_now (const KqModel *model);
KqRandom *kq_model_random (KqModel *model);
unsigned kq_model_op_count (const KqModel *model);
KqModelOp *kq_model_op (const KqModel *model, unsigned id);
KqRequestGuardStats kq_model_stats (const KqModel *model, unsigned agent);

/** kq_model_target_requests - Return: total of the requests that the agent's target received */
uint64_t kq_model_target_requests (const KqModel *model, unsigned agent);

/** kq_model_crash - crashes an agent; it restarts as a new incarnation after @down_us */
void kq_model_crash (KqModel *model, unsigned agent, KqTime down_us);

/** kq_model_freeze_agent - suspends an agent; datagrams that arrive meanwhile are handled later */
void kq_model_freeze_agent (KqModel *model, unsigned agent, KqTime duration_us);

/** kq_model_freeze_target - suspends the target of an agent likewise */
void kq_model_freeze_target (KqModel *model, unsigned agent, KqTime duration_us);

/** kq_model_set_workers - sets how many requests the agent's target runs concurrently */
void kq_model_set_workers (KqModel *model, unsigned agent, unsigned workers);

/** kq_model_move_flow - makes another agent the owner of a flow */
void kq_model_move_flow (KqModel *model, unsigned flow, unsigned agent);

/** kq_model_drain - puts an agent's request guard into draining */
void kq_model_drain (KqModel *model, unsigned agent);

/** kq_model_check - checks the guarantees for all requests so far */
KqModelCheck kq_model_check (const KqModel *model);
