/* The directory: control addresses of balancers and of current and recent agents, kept in the store
 * for processes that start. */
#pragma once

#include "kumquat/view.h"

#define KQ_DIRECTORY_KEY "kumquat/members"

/**
 * struct KqDirectoryEntry - one member
 * @control: address for control traffic
 * @role: balancer or agent
 * @id: of an agent: hash of its name; 0 if an older version wrote the entry or its role is unknown
 *   to this version
 * @service: of an agent: number of its service
 * @present: of an agent: it is eligible for new streams
 * @ended: of an agent: its target has ended, so it owns no stream
 * @certain_slots: of an agent: seconds before the write throughout which every instance ranked it
 * @possible_slots: of an agent: seconds in which some instance may have ranked it
 */
typedef struct
{
  KqAddress control;
  KqRole role;
  uint64_t id;
  uint32_t service;
  bool present;
  bool ended;
  uint64_t certain_slots;
  uint64_t possible_slots;
} KqDirectoryEntry;

/**
 * struct KqDirectoryInconsistencies - counts of directory entries that this version would not write
 * @unidentified: agents with an address only, as older versions wrote them
 * @unknown_role: entries of an unknown role; they are treated as agents without an id
 * @repeated: addresses that are listed more than once
 */
typedef struct
{
  unsigned unidentified;
  unsigned unknown_role;
  unsigned repeated;
} KqDirectoryInconsistencies;

/**
 * struct KqDirectorySchedule - schedule of the directory writes of this process
 * @written: hash of the directory that was last read or written
 * @due: time of the next write, KQ_NEVER when there is nothing to write
 * @next: earliest time of the next write
 */
typedef struct
{
  uint64_t written;
  KqTime due;
  KqTime next;
} KqDirectorySchedule;

/** kq_directory_add_balancers - appends the balancers among the members and updates @count. Return:
 * (owned by @parent) the reallocated entries, or NULL if out of memory */
KqDirectoryEntry *kq_directory_add_balancers (const void *parent, KqDirectoryEntry *entries,
                                              unsigned *count, const KqMember *members,
                                              unsigned member_count);

/** kq_directory_hash - Return: a hash of the entries in their order. The masks of seconds
 * contribute only whether all bits are set, since they otherwise change every second */
uint64_t kq_directory_hash (const KqDirectoryEntry *entries, unsigned count);

/** kq_directory_encode - Return: (owned by @parent) the value for the store, or NULL if out of
 * memory */
char *kq_directory_encode (const void *parent, const KqDirectoryEntry *entries, unsigned count);

/** kq_directory_decode - reads a value written by this or another version. Return: (owned by
 * @parent) @count entries, or NULL with @error set */
KqDirectoryEntry *kq_directory_decode (const void *parent, const char *bytes, size_t size,
                                       unsigned *count, KqDirectoryInconsistencies *inconsistencies,
                                       KqError *error);

/** kq_directory_select_contacts - selects the members that a process of @role contacts to join:
 * members of the other role first, starting at a position given by @random. Return: the number of
 * addresses written to @out */
unsigned kq_directory_select_contacts (const KqDirectoryEntry *entries, unsigned count, KqRole role,
                                       uint64_t random, KqAddress *out, unsigned capacity);

/** kq_directory_is_writer - Return: whether the process with id @self writes the directory, which
 * is the task of the first balancer in @members that is alive (the lowest id) */
bool kq_directory_is_writer (const KqMember *members, unsigned count, uint64_t self);

void kq_directory_schedule_init (KqDirectorySchedule *write_schedule);

/** kq_directory_schedule_update - schedules a write if the directory should change to a content
 * with the hash @wanted; @writer: see kq_directory_is_writer() */
void kq_directory_schedule_update (KqDirectorySchedule *write_schedule, uint64_t wanted,
                                   bool writer, KqTime now);

/** kq_directory_schedule_written - records the hash of the content that is now in the store */
void kq_directory_schedule_written (KqDirectorySchedule *write_schedule, uint64_t written,
                                    KqTime now);

/** kq_directory_schedule_failed - schedules a retry of a failed write */
void kq_directory_schedule_failed (KqDirectorySchedule *write_schedule, KqTime now);
