/* Parts of the model world that its source files share. */
#pragma once

#include <sys/queue.h>

#include "model_world.h"

#define KQ_MODEL_FLOWS_MAX   65536
#define KQ_MODEL_PAYLOAD_MAX 24

typedef struct KqModelEvent KqModelEvent;
typedef void (*KqModelHandler) (KqModelWorld *world, KqModelEvent *event);

/**
 * struct KqModelEvent - something that happens at a time
 * @at: when
 * @sequence: order of events at the same time
 * @handler: what happens
 * @agent: number of the agent concerned
 * @key: flow of a datagram
 * @data: (borrowed): argument of the handler
 * @action: what a test wants done
 * @size: bytes at @bytes
 * @bytes: datagram
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
 * struct KqModelJob - one request in a target
 * @entry: in the list of waiting or running jobs
 * @op: the request
 * @key: flow it came on
 * @message: header and token of the request
 * @running: whether it runs
 * @cancelled: nobody wants its answer
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
 * struct KqModelAgent - one agent and its target
 * @world: the world
 * @number: number of the agent
 * @guard: (nullable): NULL while the agent is down
 * @life: incarnation of the agent
 * @frozen_until: the agent does nothing before
 * @target_frozen_until: the target does nothing before
 * @jobs: requests in the target in order of arrival
 * @job_count: length of @jobs
 * @busy: jobs that run
 * @workers: jobs that may run at once
 * @next_mid: next message id of the target
 * @requests: requests that the target got
 */
typedef struct
{
  KqModelWorld *world;
  unsigned number;
  KqRequestGuard *guard;
  uint64_t life;
  KqTime frozen_until;
  KqTime target_frozen_until;
  TAILQ_HEAD (, KqModelJob) jobs;
  unsigned job_count;
  unsigned busy;
  unsigned workers;
  uint16_t next_mid;
  uint64_t requests;
} KqModelAgent;

/**
 * struct KqModelWorld - everything
 */
struct KqModelWorld
{
  KqModelParams params;
  KqRandom random;
  KqTime now;
  uint64_t sequence;
  KqModelEvent **heap;
  unsigned heap_count;
  unsigned heap_size;
  KqModelAgent agents[KQ_MODEL_AGENTS_MAX];
  KqModelOp **ops;
  unsigned op_count;
  unsigned op_size;
  uint8_t owners[KQ_MODEL_FLOWS_MAX];
  uint16_t next_mid;
  uint64_t token_base;
  void (*ended) (KqModelWorld *world, KqModelOp *op, void *data);
  void *ended_data;
};

/* model_world.c */
bool kq_model_chance (KqModelWorld *world, double share);
KqModelEvent *kq_model_post (KqModelWorld *world, KqTime at, KqModelHandler handler, unsigned agent,
                             const uint8_t *bytes, size_t size);
void kq_model_send_to_agent (KqModelWorld *world, unsigned flow, const uint8_t *bytes, size_t size);

/* model_target.c */
void kq_model_target_receive (KqModelWorld *world, KqModelEvent *event);

/* model_caller.c */
void kq_model_caller_start (KqModelWorld *world, KqModelEvent *event);
void kq_model_caller_receive (KqModelWorld *world, KqModelEvent *event);
