#include <talloc.h>

#include "kumquat/internal/probe_history.h"

KqProbedAgent *
kq_probe_history_find (const KqProbeHistory *history, uint64_t id, uint64_t incarnation)
{
  for (unsigned i = 0; i < history->count; i++)
    if (history->agents[i].id == id && history->agents[i].incarnation == incarnation)
      return &history->agents[i];
  return NULL;
}

bool
kq_probe_history_add (const void *parent, KqProbeHistory *history, uint64_t id,
                      uint64_t incarnation, uint32_t round)
{
  if (history->count == KQ_PROBE_HISTORY_MAX ||
      kq_probe_history_find (history, id, incarnation) != NULL)
    return false;
  KqProbedAgent *agents =
      talloc_realloc (parent, history->agents, KqProbedAgent, history->count + 1);
  if (agents == NULL)
    return false;
  history->agents = agents;
  agents[history->count++] =
      (KqProbedAgent){ .id = id, .incarnation = incarnation, .round = round };
  return true;
}

void
kq_probe_history_returned (const void *parent, KqProbeHistory *history, uint64_t id,
                           uint64_t incarnation)
{
  kq_probe_history_add (parent, history, id, incarnation, 0);
  KqProbedAgent *agent = kq_probe_history_find (history, id, incarnation);
  if (agent != NULL)
    agent->returned = true;
}
