/* Flows that are being placed, and queued copies of their datagrams. */

#include <string.h>
#include <talloc.h>

#include "kumquat/internal/placement_state.h"

#define PENDING_MAX         1024 /* flows that wait at the same time */
#define CALLER_SHARE        8 /* one caller IP address may use 1/8 of them when half are in use */
#define WAITING_MAX         8 /* queued datagrams of one flow */
#define WAITING_BYTES_MAX   ((size_t)1 << 20)
#define PENDING_TIMEOUT     (2 * KQ_SECOND)  /* the queued datagrams are refused after this time */
#define HANDED_OVER_TIMEOUT (10 * KQ_SECOND) /* longer than the new home's sync takes */

KqPending *
kq_pending_find (KqPlacement *placement, const KqFlowKey *key)
{
  KqPending *pending;
  TAILQ_FOREACH (pending, &placement->pending, link)
  {
    if (pending->state != KQ_HANDED_OVER && kq_flow_key_equal (&pending->key, key))
      return pending;
  }
  return NULL;
}

KqPending *
kq_pending_by_number (KqPlacement *placement, uint64_t number)
{
  KqPending *pending;
  TAILQ_FOREACH (pending, &placement->pending, link)
  {
    if (pending->number == number)
      return pending;
  }
  return NULL;
}

static bool
has_room (const KqPlacement *placement, const KqPacket *packet)
{
  if (placement->pending_count >= PENDING_MAX)
    return false;
  if (placement->pending_count < PENDING_MAX / 2)
    return true;
  unsigned same_caller = 0;
  const KqPending *pending;
  TAILQ_FOREACH (pending, &placement->pending, link)
  same_caller += memcmp (pending->key.caller.ip, packet->key.caller.ip, 16) == 0;
  return same_caller < PENDING_MAX / CALLER_SHARE;
}

KqPending *
kq_pending_new (KqPlacement *placement, const KqPacket *packet, uint64_t hash, KqTime now)
{
  KqPending *pending = has_room (placement, packet) ? talloc_zero (placement, KqPending) : NULL;
  if (pending == NULL)
    {
      kq_placement_refuse (placement, packet, KQ_ERROR_FULL);
      return NULL;
    }
  TAILQ_INIT (&pending->waiting);
  pending->key = packet->key;
  pending->hash = hash;
  pending->bucket = kq_routing_bucket (hash);
  pending->number = ++placement->last_number;
  pending->expires_at = now + PENDING_TIMEOUT;
  pending->retry_at = pending->expires_at;
  TAILQ_INSERT_TAIL (&placement->pending, pending, link);
  placement->pending_count++;
  kq_pending_enqueue (placement, pending, packet);
  return pending;
}

void
kq_pending_enqueue (KqPlacement *placement, KqPending *pending, const KqPacket *packet)
{
  size_t size = sizeof (KqWaitingDatagram) + packet->payload_size;
  KqWaitingDatagram *waiting = NULL;
  if (pending->waiting_count < WAITING_MAX && placement->waiting_bytes + size <= WAITING_BYTES_MAX)
    waiting = talloc_size (pending, size);
  if (waiting == NULL)
    {
      kq_placement_refuse (placement, packet, KQ_ERROR_FULL);
      return;
    }
  waiting->packet = *packet;
  if (packet->payload_size > 0)
    memcpy (waiting->payload, packet->payload, packet->payload_size);
  waiting->packet.payload = waiting->payload;
  TAILQ_INSERT_TAIL (&pending->waiting, waiting, link);
  pending->waiting_count++;
  placement->waiting_bytes += size;
}

/* Unlinks the record first, since callbacks may create a new one for the same flow. */
static void
detach (KqPlacement *placement, KqPending *pending)
{
  const KqWaitingDatagram *waiting;
  TAILQ_REMOVE (&placement->pending, pending, link);
  placement->pending_count--;
  TAILQ_FOREACH (waiting, &pending->waiting, link)
  placement->waiting_bytes -= sizeof *waiting + waiting->packet.payload_size;
}

void
kq_pending_deliver (KqPlacement *placement, KqPending *pending)
{
  const KqWaitingDatagram *waiting;
  detach (placement, pending);
  TAILQ_FOREACH (waiting, &pending->waiting, link)
  placement->ops.deliver (&waiting->packet, placement->data);
  talloc_free (pending);
}

void
kq_pending_forward (KqPlacement *placement, KqPending *pending, const KqPeer *to,
                    const KqPeer *home)
{
  const KqWaitingDatagram *waiting;
  detach (placement, pending);
  TAILQ_FOREACH (waiting, &pending->waiting, link)
  kq_placement_forward (placement, to, home, &waiting->packet);
  talloc_free (pending);
}

void
kq_pending_refuse (KqPlacement *placement, KqPending *pending, KqErrorKind reason)
{
  const KqWaitingDatagram *waiting;
  detach (placement, pending);
  TAILQ_FOREACH (waiting, &pending->waiting, link)
  kq_placement_refuse (placement, &waiting->packet, reason);
  talloc_free (pending);
}

/* Keeps a record of the target chosen for @pending, so that a sync by the new home includes it.
 * kq_pending_hand_over() forwards the datagrams. */
static void
keep_handover_record (KqPlacement *placement, KqPending *pending, KqTime now)
{
  KqPending *record = talloc_zero (placement, KqPending);
  if (record == NULL)
    return;
  TAILQ_INIT (&record->waiting);
  record->key = pending->key;
  record->hash = pending->hash;
  record->bucket = pending->bucket;
  record->chosen = pending->chosen;
  record->state = KQ_HANDED_OVER;
  record->expires_at = now + HANDED_OVER_TIMEOUT;
  record->retry_at = record->expires_at;
  TAILQ_INSERT_HEAD (&placement->pending, record, link);
  placement->pending_count++;
}

void
kq_pending_hand_over (KqPlacement *placement, unsigned bucket, const KqPeer *home, KqTime now)
{
  KqPending *pending = TAILQ_FIRST (&placement->pending);
  while (pending != NULL)
    {
      KqPending *next = TAILQ_NEXT (pending, link);
      if (pending->bucket == bucket && pending->state != KQ_HANDED_OVER)
        {
          if (pending->state == KQ_WAIT_PLACED)
            keep_handover_record (placement, pending, now);
          if (home->id == 0)
            kq_pending_refuse (placement, pending, KQ_ERROR_UNAVAILABLE);
          else
            kq_pending_forward (placement, pending, home, home);
        }
      pending = next;
    }
}

void
kq_pending_tick (KqPlacement *placement, KqTime now)
{
  KqPending *pending = TAILQ_FIRST (&placement->pending);
  while (pending != NULL)
    {
      KqPending *next = TAILQ_NEXT (pending, link);
      if (now >= pending->expires_at)
        kq_pending_refuse (placement, pending, KQ_ERROR_UNAVAILABLE);
      else if (now >= pending->retry_at)
        kq_choice_retry (placement, pending, now);
      pending = next;
    }
}
