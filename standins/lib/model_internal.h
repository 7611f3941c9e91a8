/* Internal types and functions shared by the source files of the simulation. */
#pragma once

#include <sys/queue.h>

#include "model_world.h"

#define KQ_MODEL_FLOWS_MAX   65536
#define KQ_MODEL_PAYLOAD_MAX 24

typedef struct KqModelEvent KqModelEvent;
typedef void (*KqModelHandler) (KqModel *model, KqModelEvent *event);

/**
 * struct KqModelEvent - an event in simulated time
 * @at: when the event is due
 * @sequence: insertion number, which orders events of equal time
 * @handler: function that handles the event
 * @agent: number of the agent concerned; for a resend, the phase of the request
 * @key: flow of the datagram
 * @data: (borrowed): argument of the handler
 * @action: function of a test to call, see kq_model_at()
 * @size: size of @bytes
 * @bytes: (array): the datagram
 */
struct KqModelEvent
{
  KqTime at;
  uint64_t sequence;
  KqModelHandler handler;
  unsigned agent;
  KqFlowKey key;
  void *data;
  KqModelAction action;
  size_t size;
  uint8_t bytes[];
};

/**
 * struct KqModelJob - a request waiting or running in a target
 * @entry: link in the target's list of jobs
 * @op: the request
 * @key: flow on which it arrived
 * @message: header and token of the request
 * @running: the job is running
 * @cancelled: the job was cancelled and gets no answer
 */
typedef struct KqModelJob
{
  TAILQ_ENTRY (KqModelJob) entry;
  KqModelOp *op;
  KqFlowKey key;
  KqCoapMessage message;
  bool running;
  bool cancelled;
} KqModelJob;

/**
 * struct KqModelAgent - an agent and its target
 * @model: the simulation
 * @number: number of the agent
 * @guard: (nullable): request guard; NULL while the agent is down
 * @current_incarnation: incarnation of the agent
 * @frozen_until: time until which the agent is suspended
 * @target_frozen_until: time until which the target is suspended
 * @jobs: requests in the target in order of arrival
 * @job_count: length of @jobs
 * @busy: number of running jobs
 * @workers: maximum number of running jobs
 * @next_message_id: next message ID of the target
 * @requests: requests that the target received
 */
typedef struct
{
  KqModel *model;
  unsigned number;
  KqRequestGuard *guard;
  uint64_t current_incarnation;
  KqTime frozen_until;
  KqTime target_frozen_until;
  TAILQ_HEAD (, KqModelJob) jobs;
  unsigned job_count;
  unsigned busy;
  unsigned workers;
  uint16_t next_message_id;
  uint64_t requests;
} KqModelAgent;

/**
 * struct KqModel - state of a simulation
 * @owners: (array): number of the agent that owns each flow
 * @token_base: offset of all tokens, derived from the seed
 * @ended: (nullable): see kq_model_on_end()
 */
struct KqModel
{
  KqModelParams params;
  KqRandom random;
  KqTime now;
  uint64_t sequence;
  KqModelEvent **heap;
  unsigned heap_count;
  unsigned heap_capacity;
  KqModelAgent agents[KQ_MODEL_AGENTS_MAX];
  KqModelOp **ops;
  unsigned op_count;
  unsigned op_capacity;
  uint8_t owners[KQ_MODEL_FLOWS_MAX];
  uint16_t next_message_id;
  uint64_t token_base;
  void (*ended) (KqModel *model, KqModelOp *op, void *data);
  void *ended_data;
};

/* model_world.c */
bool kq_model_chance (KqModel *model, double share);
KqModelEvent *kq_model_schedule (KqModel *model, KqTime at, KqModelHandler handler, unsigned agent,
                                 const uint8_t *bytes, size_t size);
void kq_model_send_to_agent (KqModel *model, unsigned flow, const uint8_t *bytes, size_t size);

/* model_target.c */
void kq_model_target_receive (KqModel *model, KqModelEvent *event);

/* model_caller.c */
void kq_model_caller_start (KqModel *model, KqModelEvent *event);
void kq_model_caller_receive (KqModel *model, KqModelEvent *event);
