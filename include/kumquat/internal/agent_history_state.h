/* Internal state of the agent history: agent_history.c maintains it, agent_ranking.c ranks its
 * agents. Time is divided into slots of a second; bit 0 of a mask is the current slot, bit 63 the
 * one 63 s ago. */
#pragma once

#include "kumquat/internal/agent_history.h"

#define KQ_AGENT_HISTORY_SLOTS                                                                     \
  64 /* streams live for a minute at most (max_flow_s); the rest covers propagation delays */

/**
 * struct KqAgentHistoryEntry - one agent
 * @id: hash of its name
 * @control: its control address
 * @service: the service of its target
 * @member: it is a member now
 * @alive: while it is a member: it is not suspected
 * @started_together: it started at about the same time as this process
 * @seen_as_member: it has been a member at some time since this process started
 * @listed: the directory that this process read lists it
 * @listed_as_present: it did so as an agent that is not gone, before this process saw it
 * @predates_directory: it started so long before this process that a current directory lists it
 * @ended: its target has ended: it owns no stream
 * @target_unreported: when it was last a member, its target had not reported to it
 * @missing: it may own streams and cannot be asked now
 * @eligible: this process ranks it as a candidate for new streams
 * @eligible_since: since when it does; KQ_NEVER when other instances may not rank it
 * @seen_at: when it was last an alive member, or was read from the directory
 * @certain_slots: slots throughout which every instance ranked it
 * @possible_slots: slots in which some instance may have ranked it
 */
typedef struct
{
  uint64_t id;
  KqAddress control;
  uint32_t service;
  bool member;
  bool alive;
  bool started_together;
  bool seen_as_member;
  bool listed;
  bool listed_as_present;
  bool predates_directory;
  bool ended;
  bool target_unreported;
  bool missing;
  bool eligible;
  KqTime eligible_since;
  KqTime seen_at;
  uint64_t certain_slots;
  uint64_t possible_slots;
} KqAgentHistoryEntry;

/**
 * struct KqUnidentifiedAgent - an agent of which a directory lists only the address
 */
typedef struct
{
  KqAddress control;
  KqTime seen_at;
} KqUnidentifiedAgent;

/**
 * struct KqAgentHistory - see agent_history.h
 * @entries: (array) (owned): ordered by id
 * @unidentified: (array) (owned): see KqUnidentifiedAgent
 * @unidentified_count: length of @unidentified
 * @complete_at: from when on the history is complete, if @joined and not @partitioned
 * @joined_at: when @joined was set; KQ_NEVER before
 * @updated_at: time of the last update
 * @member_count: members at the last update, balancers included
 * @other_starts: those of them that did not start together with this process
 * @fleet_restarted: practically all members started together with this process
 * @directory_stale: the directory was out of date by more than its lag when it was read
 * @joined: this process knows as much about the members as its peers do
 * @own_incarnation: incarnation of this process; 0 if not set
 * @can_place_at: from when on new streams are placed
 * @fleet_started_at: when the fleet started; KQ_NEVER if it is older than this process
 * @directory_read_at: when a directory was last read; KQ_NEVER before
 * @slot_start: start of the current slot
 * @window: slots in which a stream that is still open can have been opened
 * @partitioned: most agents disappeared at once: this process is probably cut off by a partition
 * @version: incremented with each change
 */
struct KqAgentHistory
{
  KqAgentHistoryEntry *entries;
  unsigned count;
  unsigned capacity;
  KqUnidentifiedAgent *unidentified;
  unsigned unidentified_count;
  KqTime complete_at;
  bool joined;
  KqTime joined_at;
  KqTime updated_at;
  unsigned member_count;
  unsigned other_starts;
  bool fleet_restarted;
  bool directory_stale;
  uint64_t own_incarnation;
  KqTime can_place_at;
  KqTime fleet_started_at;
  KqTime directory_read_at;
  KqTime slot_start;
  uint64_t window;
  bool partitioned;
  unsigned version;
};
