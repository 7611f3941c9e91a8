/* Which agents were there at any time within the lifetime of a stream, and which of them may hold
 * one. A new stream goes to one of the first KQ_ROLL_RANKS agents of its service by rendezvous
 * hashing over all that are drawn, whether they take new streams or not, so that instances with the
 * same agents on their rolls draw the same candidates. An agent that is gone stays drawn for a
 * while: instances that learn of it at different times draw alike for longer than they differ. */
#pragma once

#include "kumquat/internal/directory.h"

#define KQ_ROLL_RANKS 12 /* candidates of a stream; offers ask 8 of them, some may be away */

/**
 * struct KqAgentRoll - agents of all services, by id
 */
typedef struct KqAgentRoll KqAgentRoll;

/**
 * struct KqRollCandidates - agents that may hold one stream
 * @ids: (array) (owned): those that are members, in the order in which they are asked
 * @count: length of @ids
 * @missing: how many more there are that are no members now
 * @known: nobody is left out of whom this process could not have heard
 */
typedef struct
{
  uint64_t *ids;
  unsigned count;
  unsigned missing;
  bool known;
} KqRollCandidates;

/** kq_agent_roll_new - Return: (owned by @parent) a roll that knows nobody: without a directory,
 * for as long as streams live; NULL without memory */
KqAgentRoll *kq_agent_roll_new (const void *parent, KqTime now);

/** kq_agent_roll_born - says when this process started, by the clock of the members' incarnations
 */
void kq_agent_roll_born (KqAgentRoll *roll, uint64_t incarnation);

/** kq_agent_roll_found - the store has no directory: the fleet starts for the first time, and no
 * stream is older than this moment */
void kq_agent_roll_found (KqAgentRoll *roll, KqTime now);

/** kq_agent_roll_read - takes the agents of a directory that was read from the store */
void kq_agent_roll_read (KqAgentRoll *roll, const KqDirectoryEntry *entries, unsigned count,
                         KqTime now);

/** kq_agent_roll_update - takes the members as now believed, and forgets who has been away for
 * longer than streams live */
void kq_agent_roll_update (KqAgentRoll *roll, const KqMember *members, unsigned count, KqTime now);

/** kq_agent_roll_join - this process has exchanged members with others; before, agents that came
 * lately may be neither among the members nor in the directory. It is not needed when most agents
 * of the directory have been met and have just started as well: then nobody knows more. */
void kq_agent_roll_join (KqAgentRoll *roll);

/** kq_agent_roll_strike - takes agents that left after their target had ended: they hold nothing,
 * and are not missed */
void kq_agent_roll_strike (KqAgentRoll *roll, const uint64_t *ids, unsigned count);

/** kq_agent_roll_advance - lets time pass; called several times a second */
void kq_agent_roll_advance (KqAgentRoll *roll, KqTime now);

/** kq_agent_roll_version - Return: a number that changes when more is known of the agents */
unsigned kq_agent_roll_version (const KqAgentRoll *roll);

/** kq_agent_roll_settled - Return: whether new streams may be placed: this process has read who is
 * drawn, or has waited for as long as that may take */
bool kq_agent_roll_settled (const KqAgentRoll *roll, KqTime now);

/** kq_agent_roll_entries - Return: (owned by @parent) agents for the directory; @count is written
 */
KqDirectoryEntry *kq_agent_roll_entries (const void *parent, const KqAgentRoll *roll,
                                         unsigned *count);

/** kq_agent_roll_draw - Return: ids written to @ids: the candidates of a new stream of @service
 * with this hash, the first rank first */
unsigned kq_agent_roll_draw (const KqAgentRoll *roll, uint32_t service, uint64_t hash,
                             uint64_t ids[KQ_ROLL_RANKS]);

/**
 * kq_agent_roll_candidates - names the agents that may hold a stream
 * @services: (array): services that it may be of
 * @service_count: length of @services; 0 for any
 * @hash: of the stream's key
 *
 * These are the agents that any instance may have drawn for it at any time within the lifetime of
 * a stream. An agent of which only the address is known counts as missing for each stream.
 *
 * Return: the candidates; ids is owned by @parent, and NULL without memory.
 */
KqRollCandidates kq_agent_roll_candidates (const void *parent, const KqAgentRoll *roll,
                                           const uint32_t *services, unsigned service_count,
                                           uint64_t hash, KqTime now);
