/* The control plane of one process: membership, and which configuration is in force where. */
#pragma once

#include <tevent.h>

#include "kumquat/document.h"
#include "kumquat/random.h"
#include "kumquat/view.h"

#define KQ_SEEDS_MAX 8

typedef struct KqControl KqControl;

/**
 * struct KqControlOps - what the control plane tells its process; all pointers are borrowed
 * @members_changed: a member joined, left, died, or changed what it says of itself
 * @document_changed: a newer document of a service was accepted
 * @woke: others took this process for dead while it was paused; it goes on under @incarnation
 */
typedef struct
{
  void (*members_changed) (void *data);
  void (*document_changed) (const KqDocument *document, void *data);
  void (*woke) (uint64_t incarnation, void *data);
} KqControlOps;

/**
 * struct KqControlParams - identity and limits of one process
 * @self: what is announced; the control address must be one this process can bind
 * @seeds: (array): control addresses of instances to join through
 * @seed_count: length of @seeds
 * @key: key of the message authentication code of control traffic
 * @old_key: second key that is accepted but not used to send, while keys are rotated
 * @has_old_key: whether @old_key is set
 * @service_name: for an agent, the name of its target's service, so that it fetches that document
 *   alone until kq_control_set_service(); when empty it learns every document until then
 * @probe_interval_us: time between probes of one member each
 * @suspicion_us: how long a suspected member has to refute
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
} KqControlParams;

/**
 * kq_control_new - binds the control ports and starts to join
 *
 * Return: (owned by @parent) the control plane, or NULL with @error set.
 */
KqControl *kq_control_new (const void *parent, struct tevent_context *ev,
                           const KqControlParams *params, const KqControlOps *ops, void *data,
                           KqError *error);

/** kq_control_members - Return: (borrowed until the next event) all members but the dead and left,
 * this process included, ordered by id */
const KqMember *kq_control_members (const KqControl *control, unsigned *count);

/** kq_control_settled - Return: whether this process has exchanged members with others, or there is
 * nobody to exchange them with */
bool kq_control_settled (const KqControl *control);

/** kq_control_ended - Return: (owned by @parent) ids of the @count agents that left and said that
 * their target had ended, or NULL without memory */
uint64_t *kq_control_ended (const void *parent, const KqControl *control, unsigned *count);

/** kq_control_set_phase - announces another phase of this agent's target */
void kq_control_set_phase (KqControl *control, KqTargetPhase phase);

/** kq_control_set_service - announces the number of the service that this agent's target serves,
 * once it is known; until then the agent learns every document */
void kq_control_set_service (KqControl *control, uint32_t service);

/** kq_control_set_keys - sends with @key from now on and accepts @old_key as well, NULL for none */
void kq_control_set_keys (KqControl *control, const uint8_t key[32], const uint8_t *old_key);

/** kq_control_self - Return: (borrowed) what is announced now; the incarnation may have grown */
const KqMember *kq_control_self (const KqControl *control);

/** kq_control_introduce - tells the processes at @addresses of this one, beside the seeds, until
 * each has answered or some seconds have passed; of more than 32 the first are taken */
void kq_control_introduce (KqControl *control, const KqAddress *addresses, unsigned count);

/** kq_control_leave - announces a planned leave; call it some probe intervals before the end */
void kq_control_leave (KqControl *control);

/**
 * kq_control_publish - spreads a document that was read from the store
 *
 * Return: 1 when it is newer than the one in force here, 0 when it is not, -1 with @error set.
 */
int kq_control_publish (KqControl *control, const KqDocument *document, KqError *error);

/** kq_control_is_watcher - Return: whether this process is one of the few in its failure domain
 * that watch the store, by rendezvous over the live members */
bool kq_control_is_watcher (const KqControl *control);

/** kq_control_lags - Return: whether a newer document of @service is known of than the one held
 * here
 */
bool kq_control_lags (const KqControl *control, uint32_t service);

/** kq_control_in_force - Return: 0, or -1 when the service is not known here */
int kq_control_in_force (const KqControl *control, uint32_t service, KqDocumentStatus *in_force);

/** kq_control_metrics - writes Prometheus text; Return: (owned by @parent) the text */
char *kq_control_metrics (const void *parent, const KqControl *control);
