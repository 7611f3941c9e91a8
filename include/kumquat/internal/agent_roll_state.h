/* Internal state of the agent history: agent_roll.c maintains it, agent_draw.c ranks its agents.
 * Time is divided into slots of a second; bit 0 of a mask is the current slot, bit 63 the one 63 s
 * ago. */
#pragma once

#include "kumquat/internal/agent_roll.h"

#define KQ_ROLL_SLOTS                                                                              \
  64 /* streams live for a minute at most (max_flow_s); the rest covers propagation delays */

/**
 * struct KqRollEntry - one agent
 * @id: hash of its name
 * @control: its control address
 * @service: the service of its target
 * @member: it is a member now
 * @alive: while it is a member: it is not suspected
 * @young: it started at about the same time as this process
 * @met: it has been a member at some time since this process started
 * @ended: its target has ended: it owns no stream
 * @missing: it may own streams and cannot be asked now
 * @drawn: this process ranks it as a candidate for new streams
 * @drawn_since: since when it does; KQ_NEVER when other instances may not rank it
 * @seen_at: when it was last an alive member, or was read from the directory
 * @certain: slots throughout which every instance ranked it
 * @possible: slots in which some instance may have ranked it
 */
typedef struct
{
  uint64_t id;
  KqAddress control;
  uint32_t service;
  bool member;
  bool alive;
  bool young;
  bool met;
  bool ended;
  bool missing;
  bool drawn;
  KqTime drawn_since;
  KqTime seen_at;
  uint64_t certain;
  uint64_t possible;
} KqRollEntry;

/**
 * struct KqRollNameless - an agent of which a directory lists only the address
 */
typedef struct
{
  KqAddress control;
  KqTime seen_at;
} KqRollNameless;

/**
 * struct KqAgentRoll - see agent_roll.h
 * @entries: (array) (owned): ordered by id
 * @nameless: (array) (owned): see KqRollNameless
 * @nameless_count: length of @nameless
 * @known_at: from when on the history is complete, if @joined and not @doubted
 * @joined: this process knows as much about the members as its peers do
 * @born: incarnation of this process; 0 if not set
 * @settled_at: from when on new streams are placed
 * @founded_at: when the fleet started; KQ_NEVER if it is older than this process
 * @read_at: when a directory was last read; KQ_NEVER before
 * @slot_at: start of the current slot
 * @window: slots in which a stream that is still open can have been opened
 * @doubted: most agents disappeared at once: this process is probably cut off by a partition
 * @version: incremented with each change
 */
struct KqAgentRoll
{
  KqRollEntry *entries;
  unsigned count;
  unsigned capacity;
  KqRollNameless *nameless;
  unsigned nameless_count;
  KqTime known_at;
  bool joined;
  uint64_t born;
  KqTime settled_at;
  KqTime founded_at;
  KqTime read_at;
  KqTime slot_at;
  uint64_t window;
  bool doubted;
  unsigned version;
};
