/* What a balancer believes of the agents that take streams, and which of them it asks first. */
#pragma once

#include "kumquat/internal/stream_frame.h"
#include "kumquat/view.h"

typedef struct KqStreamTargets KqStreamTargets;

/**
 * struct KqStreamTarget - one agent and its target
 * @peer: the agent's present life
 * @service: number of the service
 * @near: it is in this balancer's failure domain
 * @serving: it says that its target takes new streams
 * @load: as its last answer said
 * @load_at: when that came; 0 for never
 * @offered: new streams offered to it since
 * @silences: offers in a row that it did not answer
 * @silent_until: not asked before this time, unless nobody else is left
 */
typedef struct
{
  KqPeer peer;
  uint32_t service;
  bool near;
  bool serving;
  KqTargetLoad load;
  KqTime load_at;
  unsigned offered;
  unsigned silences;
  KqTime silent_until;
} KqStreamTarget;

/** kq_stream_targets_new - Return: (owned by @parent) an empty table for a balancer of @domain */
KqStreamTargets *kq_stream_targets_new (const void *parent, const char *domain);

/** kq_stream_targets_set - takes the members as now believed; what was learnt of a life stays */
void kq_stream_targets_set (KqStreamTargets *targets, const KqMember *members, unsigned count);

/** kq_stream_targets_find - Return: (borrowed until the next set) the target, or NULL */
KqStreamTarget *kq_stream_targets_find (const KqStreamTargets *targets, uint64_t id);

/**
 * kq_stream_targets_choose - chooses the agent to offer a new stream to
 * @drawn: (array): ids of the stream's candidates, see kq_agent_history_rank()
 * @drawn_count: length of @drawn
 * @tried: (array): ids of agents that are not asked again
 * @tried_count: length of @tried
 *
 * Of the candidates that serve and answer, the one whose next request ends soonest by its last
 * report; an agent of another failure domain counts as slower by the price of the way. Agents that
 * are silent come when no other is left.
 *
 * Return: (borrowed until the next set) the agent, or NULL when all were tried.
 */
KqStreamTarget *kq_stream_targets_choose (const KqStreamTargets *targets, uint32_t service,
                                          const uint64_t *drawn, unsigned drawn_count,
                                          const uint64_t *tried, unsigned tried_count, KqTime now);

/** kq_stream_target_answered - takes the load that an answer carries */
void kq_stream_target_answered (KqStreamTarget *target, const KqTargetLoad *load, KqTime now);

/** kq_stream_target_silent - notes an offer without an answer */
void kq_stream_target_silent (KqStreamTarget *target, KqTime now);
