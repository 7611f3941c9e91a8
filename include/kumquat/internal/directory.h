/* Control addresses of agents that live or lived lately, and of balancers, as the store keeps them
 * for processes that start. */
#pragma once

#include "kumquat/view.h"

#define KQ_DIRECTORY_KEY "kumquat/members"

/**
 * struct KqDirectoryEntry - one member
 * @control: where it takes control traffic
 * @role: balancer or agent
 * @id: of an agent: hash of its name; 0 when an older version wrote the entry, or its role is none
 *   that is known here
 * @service: of an agent: number of its service
 * @present: of an agent: new streams are drawn from it
 * @ended: of an agent: its target has ended, so it holds no stream
 * @certain: of an agent: seconds before the writing all through which streams were drawn from it
 * @possible: of an agent: seconds in which streams may have been drawn from it
 */
typedef struct
{
  KqAddress control;
  KqRole role;
  uint64_t id;
  uint32_t service;
  bool present;
  bool ended;
  uint64_t certain;
  uint64_t possible;
} KqDirectoryEntry;

/**
 * struct KqDirectoryOddities - what a directory held that this version does not write
 * @nameless: agents of which only the address is told, as older versions wrote them
 * @unknown_role: entries of a role that is none here; they count as agents without a name
 * @repeated: addresses that stand there more than once
 */
typedef struct
{
  unsigned nameless;
  unsigned unknown_role;
  unsigned repeated;
} KqDirectoryOddities;

/**
 * struct KqDirectoryPlan - when this process writes the directory
 * @written: hash of what it read or wrote last
 * @due: when it writes, KQ_NEVER when there is nothing to write
 * @next: earliest time of the next write
 */
typedef struct
{
  uint64_t written;
  KqTime due;
  KqTime next;
} KqDirectoryPlan;

/** kq_directory_add_balancers - appends the balancers among the members. Return: (owned by
 * @parent) the entries, at another place; @count is brought up to date; NULL without memory */
KqDirectoryEntry *kq_directory_add_balancers (const void *parent, KqDirectoryEntry *entries,
                                              unsigned *count, const KqMember *members,
                                              unsigned member_count);

/** kq_directory_hash - Return: a hash of the entries in their order; of the seconds only whether
 * all are set, since the others change with each second */
uint64_t kq_directory_hash (const KqDirectoryEntry *entries, unsigned count);

/** kq_directory_encode - Return: (owned by @parent) the value for the store, or NULL without memory
 */
char *kq_directory_encode (const void *parent, const KqDirectoryEntry *entries, unsigned count);

/** kq_directory_decode - reads a value that any version may have written. Return: (owned by
 * @parent) the entries, @count of them, or NULL with @error set */
KqDirectoryEntry *kq_directory_decode (const void *parent, const char *bytes, size_t size,
                                       unsigned *count, KqDirectoryOddities *oddities,
                                       KqError *error);

/** kq_directory_choose - picks whom a process of @role introduces itself to: first members of the
 * other role, in an order that @random decides. Return: addresses written to @out */
unsigned kq_directory_choose (const KqDirectoryEntry *entries, unsigned count, KqRole role,
                              uint64_t random, KqAddress *out, unsigned capacity);

/** kq_directory_is_writer - Return: whether the process with id @self writes: the live balancer
 * with the lowest id */
bool kq_directory_is_writer (const KqMember *members, unsigned count, uint64_t self);

void kq_directory_plan_init (KqDirectoryPlan *plan);

/** kq_directory_plan_update - takes what the directory should hold, as its hash; @writer: see
 * kq_directory_is_writer() */
void kq_directory_plan_update (KqDirectoryPlan *plan, uint64_t wanted, bool writer, KqTime now);

/** kq_directory_plan_written - takes the hash of what the store holds now */
void kq_directory_plan_written (KqDirectoryPlan *plan, uint64_t written, KqTime now);

/** kq_directory_plan_failed - a write did not succeed: it is tried again later */
void kq_directory_plan_failed (KqDirectoryPlan *plan, KqTime now);
