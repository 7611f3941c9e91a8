/* State and internal functions shared by the source files of the group. */
#pragma once

#include <sys/queue.h>

#include "kumquat/internal/document_table.h"
#include "kumquat/internal/control_message.h"
#include "kumquat/internal/gossip.h"
#include "kumquat/internal/group.h"

#define KQ_PROBES_MAX          32 /* probes waiting for an answer */
#define KQ_INDIRECT_PROBES_MAX 64 /* indirect probes for other members that wait for an answer */
#define KQ_INDIRECT_PROBERS    3  /* members asked for an indirect probe, per round */
#define KQ_CONFIRMATIONS_MAX   3  /* independent suspicions that give the shortest timeout */
#define KQ_DOMAINS_MAX         64
#define KQ_TRANSFERS_MAX       4 /* documents received in pages at the same time */

/**
 * struct KqProbe - a probe of a member that is not yet answered
 * @id: the member; 0 when unused
 * @sequence: sequence number of the direct and indirect pings
 * @sent: when the first direct ping was sent
 * @attempts: number of repeated rounds, each with direct and indirect pings
 */
typedef struct
{
  uint64_t id;
  uint64_t sequence;
  KqTime sent;
  unsigned attempts;
} KqProbe;

/**
 * struct KqIndirectProbe - an indirect probe performed for another instance
 * @sequence: sequence number of the ping that this instance sent; 0 when unused
 * @requested_sequence: sequence number of the other instance's request
 * @about: the probed member
 * @reply: control address of the other instance
 * @requester: id of the other instance
 */
typedef struct
{
  uint64_t sequence;
  uint64_t requested_sequence;
  uint64_t about;
  KqAddress reply;
  uint64_t requester;
} KqIndirectProbe;

/**
 * struct KqSuspicion - a member that this instance suspects
 * @link: list entry
 * @id: the member
 * @incarnation: suspected incarnation
 * @version: suspected version
 * @started: when this instance began to suspect it
 * @next_ping: when to ping it again; only used if @own_probe_failed
 * @from: (array): distinct instances that reported a failed probe of their own
 * @confirmation_count: length of @from
 * @own_probe_failed: whether this instance's own probe failed
 */
typedef struct KqSuspicion
{
  TAILQ_ENTRY (KqSuspicion) link;
  uint64_t id;
  uint64_t incarnation;
  uint32_t version;
  KqTime started;
  KqTime next_ping;
  uint64_t from[KQ_CONFIRMATIONS_MAX];
  unsigned confirmation_count;
  bool own_probe_failed;
} KqSuspicion;
TAILQ_HEAD (KqSuspicions, KqSuspicion);

/**
 * struct KqDomainWatch - loss detection of one failure domain
 * @domain: hash of its name
 * @name: its name
 * @event: number of its last event; odd while it is lost
 * @failures: failed probes of distinct members since the last message from the domain
 * @last_failed: member whose probe failed last
 * @last_answer: when a message from one of its members was last received
 * @live: number of alive and suspected members at the last count
 * @suspects: number of suspected members at the last count
 * @checking_since: when the check for its loss began; 0 if there is none
 */
typedef struct
{
  uint64_t domain;
  char name[KQ_NAME_BYTES];
  uint64_t event;
  unsigned failures;
  uint64_t last_failed;
  KqTime last_answer;
  unsigned live;
  unsigned suspects;
  KqTime checking_since;
} KqDomainWatch;

/**
 * struct KqBalancer - a live balancer, for the collection of acknowledgements
 */
typedef struct
{
  uint64_t id;
  uint64_t domain;
} KqBalancer;

/**
 * struct KqJoin - joining of this instance, see join.c
 * @pending: it has not joined since @since
 * @reported: the event for it was logged
 * @since: when it started, or lost its last live member
 * @attempts: rounds of introductions since then, or since new seeds were set
 * @next_attempt: when the next round is due
 * @earlier_contacted: introductions to members known earlier
 * @others_contacted: introductions to balancers that sent frames
 * @next_report: when the event is logged next
 * @report_interval: time between two events
 * @next_peer: earliest time of the next introduction to a balancer that sends frames
 * @next_departed: when members that left are contacted next
 */
typedef struct
{
  bool pending;
  bool reported;
  KqTime since;
  unsigned attempts;
  KqTime next_attempt;
  unsigned earlier_contacted;
  unsigned others_contacted;
  KqTime next_report;
  KqTime report_interval;
  KqTime next_peer;
  KqTime next_departed;
} KqJoin;

/**
 * struct KqPageTransfer - a document in pages that is being received
 * @pages: (nullable): the pages; NULL when unused
 * @asked: instance that the last request was sent to; 0 once it was answered
 * @asked_at: when it was sent
 * @progress_at: when the last new page was received
 */
typedef struct
{
  KqDocumentPages *pages;
  uint64_t asked;
  KqTime asked_at;
  KqTime progress_at;
} KqPageTransfer;

struct KqGroup
{
  KqGroupParams params;
  KqGroupOps ops;
  void *data;
  KqTime now;
  KqTime started;
  KqRandom random;
  KqMembers *members;
  KqGossip *gossip;
  KqDocumentTable *spread;
  KqTokenBucket budget;
  KqTokenBucket death_limit;
  KqGroupStats stats;
  uint64_t self;
  uint64_t sequence;
  bool leaving;
  bool changed;
  KqTime paused_at;
  KqTime last_tick;
  KqTime announced_at;

  KqTime next_probe;
  KqTime next_gossip;
  KqTime next_dead_probe;
  KqTime next_forget;
  unsigned probe_cursor;
  unsigned probe_stride;
  unsigned round_size;
  unsigned round_left;
  KqTime last_answer;
  KqProbe probes[KQ_PROBES_MAX];
  KqIndirectProbe indirect_probes[KQ_INDIRECT_PROBES_MAX];
  unsigned next_indirect_probe;
  struct KqSuspicions suspicions;
  KqDomainWatch domains[KQ_DOMAINS_MAX];
  unsigned domain_count;
  KqTime next_suspect_count;

  bool joined;
  KqJoin join;
  KqTime introduce_since;
  bool bootstrapped;
  KqAddress contacts[KQ_CONTACTS_MAX];
  unsigned contact_count;
  KqTime contact_until;
  KqTime next_contact;
  unsigned join_rounds;
  unsigned join_attempts;
  KqTime next_sync;

  unsigned pull_cursor;
  KqTime next_name_pull;
  KqPageTransfer transfers[KQ_TRANSFERS_MAX];
  unsigned report_cursor;
  KqTime next_report;
  KqBalancer *balancers;
  unsigned balancer_count;
  bool balancers_stale;
  uint32_t balancers_generation;
};

/* group.c */
KqMemberRecord *kq_group_own_record (const KqGroup *group);
KqMemberRecord *kq_group_random_live (KqGroup *group);
void kq_group_apply_item (KqGroup *group, const KqItem *item, bool spread);
void kq_group_announce_self (KqGroup *group);
void kq_group_new_incarnation (KqGroup *group, uint64_t at_least);
void kq_group_log (KqGroup *group, int level, const char *name, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/* group_send.c */
typedef struct
{
  KqWriter writer;
  uint8_t bytes[KQ_CONTROL_DATAGRAM_BYTES];
} KqOutgoingDatagram;
void kq_group_begin_datagram (KqGroup *group, KqOutgoingDatagram *out, KqControlType type,
                              uint64_t sequence, const KqMemberRecord *to);
void kq_group_begin_with_header (KqGroup *group, KqOutgoingDatagram *out, KqControlHeader *header);
bool kq_group_member_item (const KqGroup *group, uint64_t id, KqItem *item);
void kq_group_piggyback (KqGroup *group, KqOutgoingDatagram *out);
bool kq_group_send_datagram (KqGroup *group, KqOutgoingDatagram *out, const KqAddress *to,
                             KqPriority priority);
void kq_group_gossip_tick (KqGroup *group);

/* introduce.c */
void kq_introduce_tick (KqGroup *group);
void kq_introduce_restart (KqGroup *group);
void kq_introduce_to (KqGroup *group, const KqAddress *control);
void kq_introduce_to_seeds (KqGroup *group);
bool kq_introduce_is_known (const KqGroup *group, const KqAddress *control);
void kq_introduce_handle (KqGroup *group, const KqControlHeader *header);

/* join.c */
void kq_join_begin (KqGroup *group);
void kq_join_tick (KqGroup *group);
bool kq_join_seeds_gone (const KqGroup *group);

/* swim.c */
void kq_swim_tick (KqGroup *group);
void kq_swim_handle_ping (KqGroup *group, const KqControlHeader *header);
void kq_swim_handle_ping_req (KqGroup *group, const KqControlHeader *header);
void kq_swim_handle_ack (KqGroup *group, const KqControlHeader *header);
void kq_swim_message_received (KqGroup *group, uint64_t from);
void kq_swim_extend_deadlines (KqGroup *group, KqTime gap);
void kq_swim_reset (KqGroup *group);
void kq_swim_send_ping (KqGroup *group, const KqMemberRecord *record, uint64_t sequence);
void kq_swim_send_ping_req (KqGroup *group, const KqMemberRecord *record, uint64_t sequence);

/* suspicion.c */
void kq_suspicion_probe_failed (KqGroup *group, const KqMemberRecord *record);
void kq_suspicion_reported (KqGroup *group, const KqMemberRecord *record, uint64_t from);
void kq_suspicion_tick (KqGroup *group);
KqSuspicion *kq_suspicion_find (KqGroup *group, uint64_t id);

/* domain_watch.c */
bool kq_domain_probe_failed (KqGroup *group, const KqMemberRecord *record);
void kq_domain_message_received (KqGroup *group, uint64_t domain);
bool kq_domain_checking (KqGroup *group, uint64_t domain);
bool kq_domain_loss_suspected (const KqGroup *group, uint64_t domain);
void kq_domain_apply (KqGroup *group, uint64_t domain, uint64_t event);
uint64_t kq_domain_event (const KqGroup *group, uint64_t domain);
void kq_domain_tick (KqGroup *group);

/* digest.c */
void kq_digest_tick (KqGroup *group);
void kq_digest_schedule (KqGroup *group);
int kq_digest_handle_request (KqGroup *group, KqReader *reader, KqWriter *answer);
int kq_digest_handle_answer (KqGroup *group, const KqControlHeader *header, KqReader *reader);

/* config_pull.c */
bool kq_config_wanted (const KqGroup *group, uint32_t service);
void kq_config_announced (KqGroup *group, uint32_t service, KqRevision revision,
                          uint64_t announced_by);
void kq_config_pull_tick (KqGroup *group);
int kq_config_pull_request (KqGroup *group, KqReader *reader, KqWriter *answer);
int kq_config_documents (KqGroup *group, KqReader *reader);
int kq_config_publish (KqGroup *group, const KqDocument *document);
KqMemberRecord *kq_config_source (const KqGroup *group, uint64_t id);

/* page_transfer.c */
bool kq_page_transfer_active (const KqGroup *group, uint32_t service, KqRevision revision);
bool kq_page_transfer_offer (KqGroup *group, uint32_t service, KqWriter *answer);
void kq_page_transfer_tick (KqGroup *group);
int kq_page_transfer_manifest (KqGroup *group, const KqControlHeader *header, KqReader *reader);
int kq_page_transfer_request (KqGroup *group, KqReader *reader, KqWriter *answer);
int kq_page_transfer_pages (KqGroup *group, const KqControlHeader *header, KqReader *reader);

/* config_report.c */
void kq_report_tick (KqGroup *group);
int kq_report_acknowledgements (KqGroup *group, const KqControlHeader *header, KqReader *reader);
void kq_report_acknowledgements_ok (KqGroup *group, const KqControlHeader *header);
int kq_report_query (KqGroup *group, const KqControlHeader *header, KqReader *reader);
int kq_report_summary (KqGroup *group, KqReader *reader);

/* watchers.c */
uint64_t kq_rendezvous_weight (uint64_t key, uint64_t id);
void kq_group_refresh_balancers (KqGroup *group);
uint64_t kq_group_root (const KqGroup *group, uint32_t service);
uint64_t kq_group_collector (const KqGroup *group, uint32_t service, uint64_t domain);
