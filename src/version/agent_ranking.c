/* Rendezvous ranking of the agents in the history. An agent can own a stream if there is a slot in
 * which fewer than KQ_AGENT_CANDIDATES_MAX agents of a higher rank were ranked by every instance.
 * The agents are therefore visited in rank order. Each is counted in the slots throughout which
 * every instance ranked it, and a slot with KQ_AGENT_CANDIDATES_MAX counted agents is closed for
 * the lower ranks. The scan ends when all slots are closed: if no agents have joined or left, after
 * KQ_AGENT_CANDIDATES_MAX agents, whatever the size of the fleet. */

#include <stdlib.h>
#include <talloc.h>

#include "kumquat/internal/agent_history_state.h"
#include "kumquat/internal/route_history.h"

/**
 * struct Ranked - an agent and its rendezvous weight for one stream
 */
typedef struct
{
  uint64_t weight;
  const KqAgentHistoryEntry *entry;
} Ranked;

static uint64_t
rendezvous_weight (uint64_t hash, uint64_t id)
{
  uint64_t value = hash * UINT64_C (0x9e3779b97f4a7c15) ^ id;
  value ^= value >> 32;
  value *= UINT64_C (0xd6e8feb86659fd93);
  return value ^ value >> 32;
}

static void
add_ranked (Ranked best[KQ_AGENT_CANDIDATES_MAX], unsigned *count, const Ranked *candidate)
{
  unsigned rank = *count;
  while (rank > 0 && candidate->weight > best[rank - 1].weight)
    rank--;
  if (rank == KQ_AGENT_CANDIDATES_MAX)
    return;
  if (*count < KQ_AGENT_CANDIDATES_MAX)
    ++*count;
  for (unsigned i = *count - 1; i > rank; i--)
    best[i] = best[i - 1];
  best[rank] = *candidate;
}

unsigned
kq_agent_history_rank (const KqAgentHistory *agent_history, uint32_t service, uint64_t hash,
                       uint64_t ids[KQ_AGENT_CANDIDATES_MAX])
{
  Ranked best[KQ_AGENT_CANDIDATES_MAX];
  unsigned count = 0;
  for (unsigned i = 0; i < agent_history->count; i++)
    {
      Ranked one = { .entry = &agent_history->entries[i] };
      if (!one.entry->eligible || one.entry->service != service)
        continue;
      one.weight = rendezvous_weight (hash, one.entry->id);
      add_ranked (best, &count, &one);
    }
  for (unsigned i = 0; i < count; i++)
    ids[i] = best[i].entry->id;
  return count;
}

static int
compare_weights (const void *a, const void *b)
{
  const Ranked *one = a;
  const Ranked *other = b;
  return one->weight < other->weight ? 1 : one->weight > other->weight ? -1 : 0;
}

/* Counts an agent that every instance ranked throughout the slots in @certain_slots. Return: the
 * slots that are still open. */
static uint64_t
close_slots (uint8_t counts[KQ_AGENT_HISTORY_SLOTS], uint64_t open, uint64_t certain_slots)
{
  for (uint64_t left = open & certain_slots; left != 0; left &= left - 1)
    {
      unsigned slot = (unsigned)__builtin_ctzll (left);
      if (++counts[slot] == KQ_AGENT_CANDIDATES_MAX)
        open &= ~(UINT64_C (1) << slot);
    }
  return open;
}

static void
collect_candidates (const KqAgentHistory *agent_history, const Ranked *ranked, unsigned count,
                    KqAgentCandidates *candidates)
{
  uint8_t counts[KQ_AGENT_HISTORY_SLOTS] = { 0 };
  uint64_t open = agent_history->window;
  for (unsigned i = 0; i < count && open != 0; i++)
    {
      const KqAgentHistoryEntry *entry = ranked[i].entry;
      if ((entry->possible_slots & open) != 0 && entry->member)
        candidates->ids[candidates->count++] = entry->id;
      else if ((entry->possible_slots & open) != 0)
        candidates->missing += entry->missing;
      open = close_slots (counts, open, entry->certain_slots);
    }
}

KqAgentCandidates
kq_agent_history_candidates (const void *parent, const KqAgentHistory *agent_history,
                             const uint32_t *services, unsigned service_count, uint64_t hash,
                             KqTime now)
{
  KqAgentCandidates candidates = { .missing = agent_history->unidentified_count,
                                   .known = now >= agent_history->complete_at &&
                                            agent_history->joined && !agent_history->partitioned };
  Ranked *ranked = talloc_array (parent, Ranked, agent_history->count + 1);
  candidates.ids = talloc_array (parent, uint64_t, agent_history->count + 1);
  if (ranked == NULL || candidates.ids == NULL)
    {
      talloc_free (ranked);
      TALLOC_FREE (candidates.ids);
      candidates.known = false;
      return candidates;
    }
  for (unsigned i = 0; i < service_count; i++)
    {
      unsigned count = 0;
      for (unsigned j = 0; j < agent_history->count; j++)
        {
          if (agent_history->entries[j].service == services[i])
            ranked[count++] =
                (Ranked){ .weight = rendezvous_weight (hash, agent_history->entries[j].id),
                          .entry = &agent_history->entries[j] };
        }
      candidates.unknown_services += count == 0;
      qsort (ranked, count, sizeof ranked[0], compare_weights);
      collect_candidates (agent_history, ranked, count, &candidates);
    }
  talloc_free (ranked);
  return candidates;
}

unsigned
kq_agent_history_add_services (const KqAgentHistory *agent_history, uint32_t *services,
                               unsigned count, unsigned capacity)
{
  for (unsigned i = 0; i < agent_history->count && count <= capacity; i++)
    count = kq_add_service (services, count, capacity, agent_history->entries[i].service);
  return count;
}
