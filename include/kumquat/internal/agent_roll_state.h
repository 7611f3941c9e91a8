/* The state of an agent roll: agent_roll.c keeps it, agent_draw.c reads it. Time is cut into slots
 * of a second; bit 0 of a mask is the present slot, bit 63 the one 63 s ago. */
#pragma once

#include "kumquat/internal/agent_roll.h"

#define KQ_ROLL_SLOTS                                                                              \
  64 /* no stream lives longer than a minute (max_flow_s); the rest is for lags */

/**
 * struct KqRollEntry - one agent
 * @id: hash of its name
 * @control: its control address
 * @service: the service of its target
 * @member: it is among the members now
 * @alive: and is not suspected
 * @young: it started at about the same time as this process
 * @met: it has been among the members in the life of this process
 * @ended: its target has ended: it holds no stream
 * @missing: it may hold streams and cannot be asked now
 * @drawn: this process draws it
 * @drawn_since: from when on
 * @seen_at: when it was last alive among the members, or was read
 * @certain: slots all through which every instance drew it
 * @possible: slots in which some instance may have drawn it
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
 * struct KqRollNameless - an agent of which a directory told the address only
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
 * @known_at: from when on nobody is missing of whom this process could not have heard
 * @joined: this process knows as much of the members as the others do
 * @born: incarnation of this process; 0 when not said
 * @settled_at: from when on new streams are placed
 * @founded_at: when the fleet started, KQ_NEVER when it is older than this process
 * @read_at: when a directory was read, KQ_NEVER before
 * @slot_at: when the present slot began
 * @window: slots in which streams can have been opened that are still open
 * @doubted: most agents are gone at once, so this process may be cut off from the others
 * @version: counts what was learnt
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
