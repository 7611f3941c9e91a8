/* Control plane logic of one instance: membership of one region's group and dissemination of
 * configuration. It uses neither sockets nor a clock, so that a process and a test driver can run
 * the same code. */
#pragma once

#include "kumquat/document.h"
#include "kumquat/internal/identity.h"
#include "kumquat/internal/token_bucket.h"
#include "kumquat/random.h"

#define KQ_GROUP_SEEDS_MAX      8
#define KQ_CONTACTS_MAX         32 /* a slow machine handles this many answers in milliseconds */
#define KQ_DOCUMENT_WHOLE_BYTES 524288 /* larger documents are sent only in pages */
#define KQ_BULK_BYTES           589824 /* largest bulk message: fits one document that is sent whole */

typedef struct KqGroup KqGroup;

/**
 * struct KqGroupOps - callbacks of the group; all pointers are borrowed
 * @send: sends a datagram
 * @send_request: sends a bulk request; the answer, if any, is passed to kq_group_handle_answer()
 * @members_changed: a member joined, left, died, came back or changed its announced data
 * @document_changed: a newer document was accepted
 * @incarnation_changed: this process continues under a new incarnation
 * @event: logs an event: a syslog level, a stable name and key=value pairs
 */
typedef struct
{
  void (*send) (const KqAddress *to, const uint8_t *bytes, size_t size, void *data);
  void (*send_request) (const KqAddress *to, const uint8_t *bytes, size_t size, void *data);
  void (*members_changed) (void *data);
  void (*document_changed) (const KqDocument *document, void *data);
  void (*incarnation_changed) (uint64_t incarnation, void *data);
  void (*event) (int level, const char *name, const char *details, void *data);
} KqGroupOps;

/**
 * struct KqGroupParams - identity and limits
 * @self: announced data of this instance; the incarnation is the wall clock time of the start in
 *   microseconds
 * @seeds: (array): control addresses to join through
 * @seed_count: length of @seeds
 * @service_name: hash of the name of an agent's service until its number is known; 0 for none
 * @common_document: number of a document that agents request besides their own; 0 for none
 * @probe_interval_us: time between probes; also how long a direct probe waits for its answer
 * @suspicion_us: shortest suspicion timeout
 * @budget_bytes_per_s: limit of the bytes sent
 * @overhead_bytes: size of the headers and the authentication code that are added to each datagram
 * @random_seed: seed of the random number generator
 * @no_refutation: switch for tests: a suspected member does not refute
 * @no_suspicion: switch for tests: a member whose probe failed is declared dead at once
 */
typedef struct
{
  KqMember self;
  KqAddress seeds[KQ_GROUP_SEEDS_MAX];
  unsigned seed_count;
  uint64_t service_name;
  uint32_t common_document;
  KqTime probe_interval_us;
  KqTime suspicion_us;
  unsigned budget_bytes_per_s;
  unsigned overhead_bytes;
  uint64_t random_seed;
  bool no_refutation;
  bool no_suspicion;
} KqGroupParams;

/**
 * struct KqGroupStats - counters since the start, and the gauges that are marked as such
 */
typedef struct
{
  uint64_t datagrams_sent;
  uint64_t datagrams_received;
  uint64_t bytes_sent;
  uint64_t bulk_bytes_sent;
  uint64_t malformed;
  uint64_t misdirected;
  uint64_t probes;
  uint64_t probes_failed;
  uint64_t suspicions;
  uint64_t refutations;
  uint64_t deaths_declared;
  uint64_t deaths_delayed;
  uint64_t domains_lost;
  uint64_t domains_back;
  uint64_t new_incarnations;
  uint64_t name_conflicts;
  uint64_t documents_accepted;
  uint64_t documents_refused;
  uint64_t documents_served;
  uint64_t documents_damaged;
  uint64_t pages_served;
  uint64_t pages_received;
  uint64_t pages_repeated;
  uint64_t pages_refused;
  uint64_t pages_other_version;
  uint64_t transfers_stalled;
  uint64_t syncs;
  uint64_t holders_messages;
  unsigned gossip_queued; /* gauge */
  unsigned suspected;     /* gauge */
} KqGroupStats;

/** kq_group_new - Return: (owned by @parent) a group that starts joining at its first tick, or NULL
 * if out of memory; @pool must outlive it */
KqGroup *kq_group_new (const void *parent, const KqGroupParams *params, KqIdentityPool *pool,
                       const KqGroupOps *ops, void *data, KqTime now);

#define KQ_GROUP_TICK_US (50 * KQ_MS) /* interval at which to call kq_group_tick() */
void kq_group_tick (KqGroup *group, KqTime now);

/** kq_group_handle_datagram - handles a datagram whose authentication code was verified */
void kq_group_handle_datagram (KqGroup *group, const uint8_t *bytes, size_t size, KqTime now);

/** kq_group_handle_request - handles a bulk request; Return: size of the answer written to @answer,
 * 0 for none, -1 if the request was malformed */
int kq_group_handle_request (KqGroup *group, const uint8_t *bytes, size_t size, uint8_t *answer,
                             size_t capacity, KqTime now);

/** kq_group_handle_answer - handles the answer to an earlier bulk request */
void kq_group_handle_answer (KqGroup *group, const uint8_t *bytes, size_t size, KqTime now);

/** kq_group_members - Return: number of live members written to @out, ordered by id */
unsigned kq_group_members (const KqGroup *group, KqMember *out, unsigned capacity);
unsigned kq_group_live (const KqGroup *group);

/** kq_group_bootstrapped - Return: whether this process has joined the group, or has given up
 * waiting because it has no other seed or no seed answered */
bool kq_group_bootstrapped (const KqGroup *group);

/** kq_group_ended_agents - Return: (owned by @parent) ids of the @count agents that left and
 * announced that their target had ended, or NULL if out of memory */
uint64_t *kq_group_ended_agents (const void *parent, const KqGroup *group, unsigned *count);
KqMember kq_group_self (const KqGroup *group);

/** kq_group_member_state - Return: state of @id as known to this instance; KQ_MEMBER_LEFT if
 * unknown */
KqMemberState kq_group_member_state (const KqGroup *group, uint64_t id);

/** kq_group_preload - for test drivers: records a live member as if learned through gossip */
void kq_group_preload (KqGroup *group, const KqMember *member, KqTime now);

/** kq_group_preload_copy - for test drivers: copies the member table of @source; Return: 0, or -1
 * if out of memory */
int kq_group_preload_copy (KqGroup *group, const KqGroup *source);
void kq_group_set_phase (KqGroup *group, KqTargetPhase phase, KqTime now);
void kq_group_set_service (KqGroup *group, uint32_t service, KqTime now);
void kq_group_leave (KqGroup *group, KqTime now);

/** kq_group_introduce - see kq_control_introduce() */
void kq_group_introduce (KqGroup *group, const KqAddress *addresses, unsigned count, KqTime now);

/** kq_group_set_seeds - see kq_control_set_seeds() */
void kq_group_set_seeds (KqGroup *group, const KqAddress *seeds, unsigned count, KqTime now);

/** kq_group_peer_heard - see kq_control_peer_heard() */
void kq_group_peer_heard (KqGroup *group, const KqAddress *control, KqTime now);

/** kq_group_publish - see kq_control_publish() */
int kq_group_publish (KqGroup *group, const KqDocument *document, KqTime now, KqError *error);
bool kq_group_is_watcher (const KqGroup *group);

/** kq_group_in_force - Return: 0, or -1 if the service is unknown */
int kq_group_in_force (KqGroup *group, uint32_t service, KqDocumentStatus *in_force);

/** kq_group_held_revision - Return: revision of the document of @service that this instance holds;
 * zero if none */
KqRevision kq_group_held_revision (const KqGroup *group, uint32_t service);

/** kq_group_document_outdated - see kq_control_document_outdated() */
bool kq_group_document_outdated (const KqGroup *group, uint32_t service);
KqGroupStats kq_group_stats (const KqGroup *group);
const KqTokenBucket *kq_group_budget (const KqGroup *group);
