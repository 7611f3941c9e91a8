/* The agents that a balancer has sent a segment of one stream to as a probe, and which of their
 * targets returned it. A target that returned a segment does not own the stream later either, since
 * only an opening segment makes it an owner, which its agent would know of. */
#pragma once

#include "kumquat/types.h"

/* Agents remembered of one stream: five rounds of a search. Others are not probed. */
#define KQ_PROBE_HISTORY_MAX 60

/**
 * struct KqProbedAgent - an agent that was sent a probe
 * @id: hash of its name
 * @incarnation: of the agent; a restarted one may be probed again, its target may be another one
 * @round: transaction of the probe; 0 when only a forwarded segment was returned
 * @returned: its target returned the segment
 */
typedef struct
{
  uint64_t id;
  uint64_t incarnation;
  uint32_t round;
  bool returned;
} KqProbedAgent;

/**
 * struct KqProbeHistory - probes of one stream; zero-initialized when there were none
 * @agents: (array) (owned by the stream): see KqProbedAgent
 * @count: length of @agents
 */
typedef struct
{
  KqProbedAgent *agents;
  unsigned count;
} KqProbeHistory;

/** kq_probe_history_find - Return: (borrowed until the next change) (nullable) the entry of the
 * agent in this incarnation */
KqProbedAgent *kq_probe_history_find (const KqProbeHistory *history, uint64_t id,
                                      uint64_t incarnation);

/** kq_probe_history_add - records that a probe is sent to the agent. Return: false when it must not
 * be sent: it was sent before, the history is full, or memory ran out; the entries are allocated
 * under @parent */
bool kq_probe_history_add (const void *parent, KqProbeHistory *history, uint64_t id,
                           uint64_t incarnation, uint32_t round);

/** kq_probe_history_returned - records that the target of the agent returned a segment of the
 * stream; nothing is recorded when memory ran out or the history is full */
void kq_probe_history_returned (const void *parent, KqProbeHistory *history, uint64_t id,
                                uint64_t incarnation);
