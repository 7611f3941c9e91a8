/* Control addresses of agents that live or lived lately, and of balancers, as the store keeps them
 * for processes that start. */
#pragma once

#include "kumquat/view.h"

#define KQ_DIRECTORY_KEY     "kumquat/members"
#define KQ_DIRECTORY_ENTRIES 1024 /* at 24 bytes each far below the largest value of a store */

/**
 * struct KqDirectoryEntry - one member
 * @control: where it takes control traffic
 * @role: balancer or agent
 */
typedef struct
{
  KqAddress control;
  KqRole role;
} KqDirectoryEntry;

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

/** kq_directory_add_balancers - appends the balancers among the members to the agents that
 * @entries holds. Return: entries now; those beyond @capacity are left out */
unsigned kq_directory_add_balancers (const KqMember *members, unsigned member_count,
                                     KqDirectoryEntry *entries, unsigned count, unsigned capacity);

/** kq_directory_hash - Return: a hash of the entries in their order */
uint64_t kq_directory_hash (const KqDirectoryEntry *entries, unsigned count);

/** kq_directory_encode - Return: (owned by @parent) the value for the store, or NULL without memory
 */
char *kq_directory_encode (const void *parent, const KqDirectoryEntry *entries, unsigned count);

/** kq_directory_decode - Return: entries read, or -1 with @error set */
int kq_directory_decode (const char *bytes, size_t size, KqDirectoryEntry *entries,
                         unsigned capacity, KqError *error);

/** kq_directory_choose - picks whom a process of @role introduces itself to: first members of the
 * other role, in an order that @random decides. Return: addresses written to @out */
unsigned kq_directory_choose (KqDirectoryEntry *entries, unsigned count, KqRole role,
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
