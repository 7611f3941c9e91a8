/* The control plane of one process: membership, and which instances use which configuration. */
#pragma once

#include <tevent.h>

#include "kumquat/document.h"
#include "kumquat/random.h"
#include "kumquat/view.h"

#define KQ_SEEDS_MAX 8

typedef struct KqControl KqControl;

/**
 * struct KqControlOps - callbacks of the control plane; all pointers are borrowed
 * @members_changed: a member joined, left, died, or changed its announced data
 * @document_changed: a newer document of a service was accepted
 * @ticked: (nullable): called every 50 ms, before the control plane handles its own timeouts
 * @incarnation_changed: this process continues under the new @incarnation, because others declared
 * it dead while it was paused, or because another process used its name
 */
typedef struct
{
  void (*members_changed) (void *data);
  void (*document_changed) (const KqDocument *document, void *data);
  void (*ticked) (void *data);
  void (*incarnation_changed) (uint64_t incarnation, void *data);
} KqControlOps;

/**
 * struct KqControlParams - identity and limits of one process
 * @self: announced data; this process must be able to bind the control address
 * @seeds: (array): control addresses of instances to join through
 * @seed_count: length of @seeds
 * @key: key of the message authentication code of control traffic
 * @old_key: second key that is accepted but not used for sending, for key rotation
 * @has_old_key: whether @old_key is set
 * @service_name: for an agent, the name of its target's service, so that it fetches only that
 *   document until kq_control_set_service(); if empty, it fetches every document until then
 * @common_document: number of a document that agents request besides their own; 0 for none
 * @probe_interval_us: time between probes of one member each
 * @suspicion_us: shortest time that a suspected member has to refute the suspicion
 * @budget_bytes_per_s: limit of the bytes that control traffic sends
 */
typedef struct
{
  KqMember self;
  KqAddress seeds[KQ_SEEDS_MAX];
  unsigned seed_count;
  uint8_t key[32];
  KqTime probe_interval_us;
  KqTime suspicion_us;
  unsigned budget_bytes_per_s;
  uint8_t old_key[32];
  bool has_old_key;
  char service_name[KQ_NAME_BYTES];
  uint32_t common_document;
} KqControlParams;

/**
 * kq_control_new - binds the control ports and starts to join
 *
 * Return: (owned by @parent) the control plane, or NULL with @error set.
 */
KqControl *kq_control_new (const void *parent, struct tevent_context *ev,
                           const KqControlParams *params, const KqControlOps *ops, void *data,
                           KqError *error);

/** kq_control_members - Return: (borrowed until the next event) the live members, including this
 * process, ordered by id */
const KqMember *kq_control_members (const KqControl *control, unsigned *count);

/** kq_control_bootstrapped - Return: whether this process has joined the group, or has given up
 * waiting because it has no other seed or no seed answered */
bool kq_control_bootstrapped (const KqControl *control);

/** kq_control_ended_agents - Return: (owned by @parent) ids of the @count agents that left and
 * announced that their target had ended, or NULL if out of memory */
uint64_t *kq_control_ended_agents (const void *parent, const KqControl *control, unsigned *count);

/** kq_control_set_phase - announces a new phase of this agent's target */
void kq_control_set_phase (KqControl *control, KqTargetPhase phase);

/** kq_control_set_service - announces the number of the service that this agent's target serves,
 * once it is known; until then, @service_name of struct KqControlParams decides which documents the
 * agent fetches */
void kq_control_set_service (KqControl *control, uint32_t service);

/** kq_control_set_keys - replaces the keys: @key is used for sending and accepted, @old_key is only
 * accepted; NULL for none */
void kq_control_set_keys (KqControl *control, const uint8_t key[32], const uint8_t *old_key);

/** kq_control_self - Return: (borrowed) the announced data; the incarnation may have grown since
 * the start */
const KqMember *kq_control_self (const KqControl *control);

/** kq_control_introduce - introduces this process to the processes at @addresses, in addition to
 * the seeds, until each has answered or a few seconds have passed; at most 32 addresses are used */
void kq_control_introduce (KqControl *control, const KqAddress *addresses, unsigned count);

/** kq_control_set_seeds - replaces the seeds. A process that has not joined tries them at once; one
 * that has introduces itself to those among the new seeds that it does not know */
void kq_control_set_seeds (KqControl *control, const KqAddress *seeds, unsigned count);

/** kq_control_peer_heard - notes that the instance with the control address @address is alive. A
 * process without a live member introduces itself to it, at most once a second */
void kq_control_peer_heard (KqControl *control, const KqAddress *address);

/** kq_control_leave - announces a planned leave; call it some probe intervals before the process
 * exits */
void kq_control_leave (KqControl *control);

/**
 * kq_control_publish - disseminates a document that was read from the store
 *
 * Return: 1 if it is newer than the one in force here, 0 if it is the same, -1 with @error set.
 */
int kq_control_publish (KqControl *control, const KqDocument *document, KqError *error);

/** kq_control_is_watcher - Return: whether this process is one of the few in its failure domain
 * that watch the store, selected by rendezvous hashing over the live members */
bool kq_control_is_watcher (const KqControl *control);

/** kq_control_document_outdated - Return: whether a newer revision of the document of @service is
 * known than the one held here */
bool kq_control_document_outdated (const KqControl *control, uint32_t service);

/** kq_control_in_force - Return: 0, or -1 if the service is unknown here */
int kq_control_in_force (const KqControl *control, uint32_t service, KqDocumentStatus *in_force);

/** kq_control_metrics - Return: (owned by @parent) the metrics in Prometheus text format */
char *kq_control_metrics (const void *parent, const KqControl *control);
