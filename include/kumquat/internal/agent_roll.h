/* Which agents have lived within the lifetime of a stream, and whether all of them are here. */
#pragma once

#include "kumquat/internal/directory.h"

/**
 * struct KqRollEntry - one agent
 * @control: its address
 * @seen_at: when it was last among the members, or was read
 * @present: it is among the members now
 */
typedef struct
{
  KqAddress control;
  KqTime seen_at;
  bool present;
} KqRollEntry;

/**
 * struct KqAgentRoll - agents by address
 * @entries: (array): ordered by address
 * @count: length of @entries
 * @known_at: from when on nobody is missing of whom this process could not have heard
 */
typedef struct
{
  KqRollEntry entries[KQ_DIRECTORY_ENTRIES];
  unsigned count;
  KqTime known_at;
} KqAgentRoll;

/** kq_agent_roll_init - knows nobody: without a directory, for as long as streams live */
void kq_agent_roll_init (KqAgentRoll *roll, KqTime now);

/** kq_agent_roll_read - takes the agents of a directory that was read from the store */
void kq_agent_roll_read (KqAgentRoll *roll, const KqDirectoryEntry *entries, unsigned count,
                         KqTime now);

/** kq_agent_roll_update - takes the members as now believed, and forgets who has been away for
 * longer than streams live */
void kq_agent_roll_update (KqAgentRoll *roll, const KqMember *members, unsigned count, KqTime now);

/** kq_agent_roll_complete - Return: whether all agents that may hold an open stream are members */
bool kq_agent_roll_complete (const KqAgentRoll *roll, KqTime now);

/** kq_agent_roll_entries - Return: agents written to @entries */
unsigned kq_agent_roll_entries (const KqAgentRoll *roll, KqDirectoryEntry *entries,
                                unsigned capacity);
