/* The control plane's decisions of one instance, without sockets or clock: membership of one
 * region's group and the spread of configuration. A process and a test driver run the same code. */
#pragma once

#include "kumquat/document.h"
#include "kumquat/internal/identity.h"
#include "kumquat/internal/token_bucket.h"
#include "kumquat/random.h"

#define KQ_GROUP_SEEDS_MAX 8
#define KQ_CONTACTS_MAX    32 /* answers of so many fit into a few milliseconds of a slow machine */
#define KQ_BULK_BYTES      589824 /* largest bulk message: one document of the largest size fits */

typedef struct KqGroup KqGroup;

/**
 * struct KqGroupOps - actions and notices of the group; all pointers are borrowed
 * @send: sends a datagram
 * @ask: sends a bulk request; its answer, if any, goes to kq_group_bulk_answer()
 * @members_changed: a member joined, left, died, came back or changed what it says of itself
 * @document_changed: a newer document was accepted
 * @woke: this process goes on under another incarnation
 * @event: something to log: a syslog level, a stable name and key=value pairs
 */
typedef struct
{
  void (*send) (const KqAddress *to, const uint8_t *bytes, size_t size, void *data);
  void (*ask) (const KqAddress *to, const uint8_t *bytes, size_t size, void *data);
  void (*members_changed) (void *data);
  void (*document_changed) (const KqDocument *document, void *data);
  void (*woke) (uint64_t incarnation, void *data);
  void (*event) (int level, const char *name, const char *details, void *data);
} KqGroupOps;

/**
 * struct KqGroupParams - identity and limits
 * @self: what is announced; its incarnation is the wall clock at the start in microseconds
 * @seeds: (array): control addresses to join through
 * @seed_count: length of @seeds
 * @service_name: hash of the name of an agent's service while its number is not known; 0 for none
 * @probe_interval_us: time between probes; also how long a direct probe waits for its answer
 * @suspicion_us: shortest time from suspicion to death
 * @budget_bytes_per_s: limit of the bytes sent
 * @overhead_bytes: headers and authentication code that each datagram carries besides
 * @random_seed: seed of the generator
 * @no_refutation: switch for tests: a suspected member does not refute
 * @no_suspicion: switch for tests: a failed probe is a death
 */
typedef struct
{
  KqMember self;
  KqAddress seeds[KQ_GROUP_SEEDS_MAX];
  unsigned seed_count;
  uint64_t service_name;
  KqTime probe_interval_us;
  KqTime suspicion_us;
  unsigned budget_bytes_per_s;
  unsigned overhead_bytes;
  uint64_t random_seed;
  bool no_refutation;
  bool no_suspicion;
} KqGroupParams;

/**
 * struct KqGroupStats - counters since the start, gauges where said so
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
  uint64_t wakes;
  uint64_t name_conflicts;
  uint64_t documents_accepted;
  uint64_t documents_refused;
  uint64_t documents_served;
  uint64_t syncs;
  uint64_t holders_messages;
  unsigned gossip_queued; /* gauge */
  unsigned suspected;     /* gauge */
} KqGroupStats;

/** kq_group_new - Return: (owned by @parent) a group that joins with its first tick, or NULL
 * without memory; @pool must outlive it */
KqGroup *kq_group_new (const void *parent, const KqGroupParams *params, KqIdentityPool *pool,
                       const KqGroupOps *ops, void *data, KqTime now);

#define KQ_GROUP_TICK_US (50 * KQ_MS) /* how often kq_group_tick() is to be called */
void kq_group_tick (KqGroup *group, KqTime now);

/** kq_group_datagram - takes a datagram whose authentication code was right */
void kq_group_datagram (KqGroup *group, const uint8_t *bytes, size_t size, KqTime now);

/** kq_group_bulk_request - Return: bytes of the answer at @answer, 0 for none, -1 when malformed */
int kq_group_bulk_request (KqGroup *group, const uint8_t *bytes, size_t size, uint8_t *answer,
                           size_t capacity, KqTime now);

/** kq_group_bulk_answer - takes the answer to an earlier request */
void kq_group_bulk_answer (KqGroup *group, const uint8_t *bytes, size_t size, KqTime now);

/** kq_group_members - Return: how many live members were written to @out, ordered by id */
unsigned kq_group_members (const KqGroup *group, KqMember *out, unsigned capacity);
unsigned kq_group_live (const KqGroup *group);

/** kq_group_settled - Return: whether this process has exchanged members with a seed, or there is
 * nobody to exchange them with */
bool kq_group_settled (const KqGroup *group);

/** kq_group_ended - Return: (owned by @parent) ids of the @count agents that left and said that
 * their target had ended, or NULL without memory */
uint64_t *kq_group_ended (const void *parent, const KqGroup *group, unsigned *count);
KqMember kq_group_self (const KqGroup *group);

/** kq_group_state_of - Return: the state this instance believes; KQ_MEMBER_LEFT for a stranger */
KqMemberState kq_group_state_of (const KqGroup *group, uint64_t id);

/** kq_group_preload - records a live member as if it had been learnt by gossip, for test drivers */
void kq_group_preload (KqGroup *group, const KqMember *member, KqTime now);

/** kq_group_preload_copy - records all members that @source knows; Return: 0, or -1 without memory
 */
int kq_group_preload_copy (KqGroup *group, const KqGroup *source);
void kq_group_set_phase (KqGroup *group, KqTargetPhase phase, KqTime now);
void kq_group_set_service (KqGroup *group, uint32_t service, KqTime now);
void kq_group_leave (KqGroup *group, KqTime now);

/** kq_group_introduce - see kq_control_introduce() */
void kq_group_introduce (KqGroup *group, const KqAddress *addresses, unsigned count, KqTime now);

/** kq_group_publish - see kq_control_publish() */
int kq_group_publish (KqGroup *group, const KqDocument *document, KqTime now, KqError *error);
bool kq_group_is_watcher (const KqGroup *group);

/** kq_group_in_force - Return: 0, or -1 when the service is not known */
int kq_group_in_force (KqGroup *group, uint32_t service, KqDocumentStatus *in_force);

/** kq_group_held - Return: the revision of @service that is held here; zero for none */
KqRevision kq_group_held (const KqGroup *group, uint32_t service);

/** kq_group_lags - see kq_control_lags() */
bool kq_group_lags (const KqGroup *group, uint32_t service);
KqGroupStats kq_group_stats (const KqGroup *group);
const KqTokenBucket *kq_group_budget (const KqGroup *group);
