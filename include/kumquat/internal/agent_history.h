/* The agent history: which agents existed at any time within the lifetime of a stream, and which of
 * them may own a given one. A new stream goes to one of the KQ_AGENT_CANDIDATES_MAX highest ranked
 * agents of its service. Rendezvous hashing ranks all eligible agents, including those that take no
 * new streams at the moment, so that instances with the same history select the same candidates. An
 * agent that is gone remains eligible for some time, which is longer than the time by which
 * instances differ in learning of it. */
#pragma once

#include "kumquat/internal/directory.h"

#define KQ_AGENT_CANDIDATES_MAX                                                                    \
  12 /* candidates of a stream; offers go to 8 of them, some may be absent */

/**
 * struct KqAgentHistory - agents of all services, by id
 */
typedef struct KqAgentHistory KqAgentHistory;

/**
 * struct KqAgentCandidates - agents that may own one stream
 * @ids: (array) (owned): those that are members, in the order in which to ask them
 * @count: length of @ids
 * @missing: number of further candidates that are not members now
 * @unknown_services: number of the services without any agent in the history
 * @known: the history is complete: no agent can be left out because this process had no chance to
 *   learn of it
 */
typedef struct
{
  uint64_t *ids;
  unsigned count;
  unsigned missing;
  unsigned unknown_services;
  bool known;
} KqAgentCandidates;

/** kq_agent_history_new - Return: (owned by @parent) an empty history, which is incomplete until a
 * directory is read or the longest lifetime of a stream has passed; NULL if out of memory */
KqAgentHistory *kq_agent_history_new (const void *parent, KqTime now);

/** kq_agent_history_set_incarnation - sets the incarnation of this process, which is its start time
 * on the clock used for the members' incarnations */
void kq_agent_history_set_incarnation (KqAgentHistory *agent_history, uint64_t incarnation);

/** kq_agent_history_start_fleet - notes that the store has no directory: the fleet starts for the
 * first time, and no stream was opened before @now */
void kq_agent_history_start_fleet (KqAgentHistory *agent_history, KqTime now);

/** kq_agent_history_merge_directory - merges the agents of a directory that was read from the store
 */
void kq_agent_history_merge_directory (KqAgentHistory *agent_history,
                                       const KqDirectoryEntry *entries, unsigned count, KqTime now);

/** kq_agent_history_update - merges the current view of the members, and drops agents that have
 * been absent for longer than the lifetime of a stream */
void kq_agent_history_update (KqAgentHistory *agent_history, const KqMember *members,
                              unsigned count, KqTime now);

/** kq_agent_history_mark_joined - notes that this process has exchanged members with others. Until
 * then, agents that joined recently may be neither among the members nor in the directory. The call
 * is not needed if most agents of the directory are members and have just started as well: then no
 * other process knows more. */
void kq_agent_history_mark_joined (KqAgentHistory *agent_history);

/** kq_agent_history_mark_ended - marks agents that left after their target had ended: they own no
 * streams and do not count as missing */
void kq_agent_history_mark_ended (KqAgentHistory *agent_history, const uint64_t *ids,
                                  unsigned count);

/** kq_agent_history_advance - updates the history to @now; to be called several times a second */
void kq_agent_history_advance (KqAgentHistory *agent_history, KqTime now);

/** kq_agent_history_version - Return: a number that changes when the history of the agents changes
 */
unsigned kq_agent_history_version (const KqAgentHistory *agent_history);

/** kq_agent_history_can_place - Return: whether new streams may be placed: this process has read
 * the directory of eligible agents, or has waited as long as that may take */
bool kq_agent_history_can_place (const KqAgentHistory *agent_history, KqTime now);

/** kq_agent_history_directory_entries - Return: (owned by @parent) the agents to write to the
 * directory; their number is stored in @count */
KqDirectoryEntry *kq_agent_history_directory_entries (const void *parent,
                                                      const KqAgentHistory *agent_history,
                                                      unsigned *count);

/** kq_agent_history_rank - ranks the eligible agents of @service for a new stream with @hash.
 * Return: the number of candidates written to @ids, highest rank first */
unsigned kq_agent_history_rank (const KqAgentHistory *agent_history, uint32_t service,
                                uint64_t hash, uint64_t ids[KQ_AGENT_CANDIDATES_MAX]);

/**
 * kq_agent_history_candidates - finds the agents that may own a stream
 * @services: (array): services that it may belong to, each once
 * @service_count: length of @services
 * @hash: of the stream's key
 *
 * These are the agents that any instance may have selected for it at any time within the lifetime
 * of a stream. An agent of which only the address is known counts as missing for every stream.
 *
 * Return: the candidates; ids is owned by @parent, and NULL if out of memory.
 */
KqAgentCandidates kq_agent_history_candidates (const void *parent,
                                               const KqAgentHistory *agent_history,
                                               const uint32_t *services, unsigned service_count,
                                               uint64_t hash, KqTime now);

/** kq_agent_history_add_services - appends the services of all agents to the @count different ones
 * in
 * @services. Return: the new number, which exceeds @capacity when there was no room for all */
unsigned kq_agent_history_add_services (const KqAgentHistory *agent_history, uint32_t *services,
                                        unsigned count, unsigned capacity);
