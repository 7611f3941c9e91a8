/* Rendezvous ranking of the agents in the history. An agent can own a stream if there is a slot in
 * which fewer than KQ_ROLL_RANKS agents of a higher rank were ranked by every instance. The
 * agents are therefore visited in rank order. Each is counted in the slots throughout which every
 * instance ranked it, and a slot with KQ_ROLL_RANKS counted agents is closed for the lower ranks.
 * The scan ends when all slots are closed: if no agents have joined or left, after KQ_ROLL_RANKS
 * agents, whatever the size of the fleet. */

#include <stdlib.h>
#include <talloc.h>

#include "kumquat/internal/agent_roll_state.h"

/**
 * struct Ranked - an agent and its rendezvous weight for one stream
 */
typedef struct
{
  uint64_t weight;
  const KqRollEntry *entry;
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
add_ranked (Ranked best[KQ_ROLL_RANKS], unsigned *count, const Ranked *new_one)
{
  unsigned rank = *count;
  while (rank > 0 && new_one->weight > best[rank - 1].weight)
    rank--;
  if (rank == KQ_ROLL_RANKS)
    return;
  if (*count < KQ_ROLL_RANKS)
    ++*count;
  for (unsigned i = *count - 1; i > rank; i--)
    best[i] = best[i - 1];
  best[rank] = *new_one;
}

unsigned
kq_agent_roll_draw (const KqAgentRoll *roll, uint32_t service, uint64_t hash,
                    uint64_t ids[KQ_ROLL_RANKS])
{
  Ranked best[KQ_ROLL_RANKS];
  unsigned count = 0;
  for (unsigned i = 0; i < roll->count; i++)
    {
      Ranked one = { .entry = &roll->entries[i] };
      if (!one.entry->drawn || one.entry->service != service)
        continue;
      one.weight = rendezvous_weight (hash, one.entry->id);
      add_ranked (best, &count, &one);
    }
  for (unsigned i = 0; i < count; i++)
    ids[i] = best[i].entry->id;
  return count;
}

static int
by_weight (const void *a, const void *b)
{
  const Ranked *one = a;
  const Ranked *other = b;
  return one->weight < other->weight ? 1 : one->weight > other->weight ? -1 : 0;
}

/* Counts an agent that every instance ranked throughout the slots in @certain. Return: the slots
 * that are still open. */
static uint64_t
close_slots (uint8_t counts[KQ_ROLL_SLOTS], uint64_t open, uint64_t certain)
{
  for (uint64_t left = open & certain; left != 0; left &= left - 1)
    {
      unsigned slot = (unsigned)__builtin_ctzll (left);
      if (++counts[slot] == KQ_ROLL_RANKS)
        open &= ~(UINT64_C (1) << slot);
    }
  return open;
}

static void
walk (const KqAgentRoll *roll, const Ranked *ranked, unsigned count, KqRollCandidates *candidates)
{
  uint8_t counts[KQ_ROLL_SLOTS] = { 0 };
  uint64_t open = roll->window;
  for (unsigned i = 0; i < count && open != 0; i++)
    {
      const KqRollEntry *entry = ranked[i].entry;
      if ((entry->possible & open) != 0 && entry->member)
        candidates->ids[candidates->count++] = entry->id;
      else if ((entry->possible & open) != 0)
        candidates->missing += entry->missing;
      open = close_slots (counts, open, entry->certain);
    }
}

KqRollCandidates
kq_agent_roll_candidates (const void *parent, const KqAgentRoll *roll, const uint32_t *services,
                          unsigned service_count, uint64_t hash, KqTime now)
{
  KqRollCandidates candidates = { .missing = roll->nameless_count,
                                  .known =
                                      now >= roll->known_at && roll->joined && !roll->doubted };
  Ranked *ranked = talloc_array (parent, Ranked, roll->count + 1);
  candidates.ids = talloc_array (parent, uint64_t, roll->count + 1);
  if (ranked == NULL || candidates.ids == NULL)
    {
      talloc_free (ranked);
      TALLOC_FREE (candidates.ids);
      candidates.known = false;
      return candidates;
    }
  /* The agents of each service are ranked separately. Without services any agent may own it. */
  for (unsigned i = 0; i < service_count; i++)
    {
      unsigned count = 0;
      for (unsigned j = 0; j < roll->count; j++)
        {
          if (roll->entries[j].service == services[i])
            ranked[count++] = (Ranked){ .weight = rendezvous_weight (hash, roll->entries[j].id),
                                        .entry = &roll->entries[j] };
        }
      qsort (ranked, count, sizeof ranked[0], by_weight);
      walk (roll, ranked, count, &candidates);
    }
  for (unsigned j = 0; j < roll->count && service_count == 0; j++)
    {
      if (roll->entries[j].member)
        candidates.ids[candidates.count++] = roll->entries[j].id;
      else
        candidates.missing += roll->entries[j].missing;
    }
  talloc_free (ranked);
  return candidates;
}
