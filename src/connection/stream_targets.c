/* Load balancing of new streams. Among the candidates of a stream, see agent_roll.h, the balancer
 * prefers the one with the lowest expected completion time of the next request. It only knows the
 * load that agents reported in their last answers, which is as old as the last offer to them; the
 * agent itself decides about admission and declines an offer when its slots are occupied. */

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/stream_targets.h"
#include "kumquat/panic.h"

/* Added to the cost of an agent in another failure domain: a free slot in the local domain is
 * preferred to a remote one, and a free remote slot to a local queue of a few requests. */
#define FAR_US (20 * KQ_MS)

/* Service time while no agent has reported one. */
#define SERVICE_FIRST_US 50000

/* Age at which a load report is ignored. */
#define LOAD_FADES_US (2 * KQ_SECOND)

/* A target appears to be failing if both its service time and its answer size are below the mean
 * divided by this. */
#define FAILING_PARTS 2

/* Cost added to a target that appears to be failing. */
#define FAILING_US (500 * KQ_MS)

/* Age of its report at which a target that appears to be failing is retried. */
#define FAILING_FADES_US (6 * KQ_SECOND)

/* Backoff after the first failed offer; it grows with each further one. */
#define SILENT_US (500 * KQ_MS)

/* Failed offers in a row after which the backoff does not grow. */
#define SILENCES_MAX 3

struct KqStreamTargets
{
  char domain[KQ_NAME_BYTES];
  KqStreamTarget *targets;
  unsigned count;
};

KqStreamTargets *
kq_stream_targets_new (const void *parent, const char *domain)
{
  KqStreamTargets *targets = talloc_zero (parent, KqStreamTargets);
  if (targets != NULL)
    strncpy (targets->domain, domain, sizeof targets->domain - 1);
  return targets;
}

KqStreamTarget *
kq_stream_targets_find (const KqStreamTargets *targets, uint64_t id)
{
  unsigned low = 0;
  unsigned high = targets->count;
  while (low < high)
    {
      unsigned middle = low + (high - low) / 2;
      if (targets->targets[middle].peer.id < id)
        low = middle + 1;
      else
        high = middle;
    }
  return low < targets->count && targets->targets[low].peer.id == id ? &targets->targets[low]
                                                                     : NULL;
}

static int
by_id (const void *a, const void *b)
{
  const KqStreamTarget *one = a;
  const KqStreamTarget *other = b;
  return one->peer.id < other->peer.id ? -1 : one->peer.id > other->peer.id;
}

static void
fill (const KqStreamTargets *known, const KqMember *member, KqStreamTarget *target)
{
  const KqStreamTarget *before = kq_stream_targets_find (known, member->peer.id);
  memset (target, 0, sizeof *target);
  if (before != NULL && before->peer.incarnation == member->peer.incarnation)
    *target = *before;
  target->peer = member->peer;
  target->service = member->service;
  target->near = strcmp (member->failure_domain, known->domain) == 0;
  target->serving = member->phase == KQ_PHASE_SERVING;
}

void
kq_stream_targets_set (KqStreamTargets *targets, const KqMember *members, unsigned count)
{
  KqStreamTarget *table = talloc_array (targets, KqStreamTarget, count + 1);
  unsigned used = 0;
  if (table == NULL)
    return;
  for (unsigned i = 0; i < count; i++)
    if (members[i].role == KQ_ROLE_AGENT)
      fill (targets, &members[i], &table[used++]);
  qsort (table, used, sizeof table[0], by_id);
  talloc_free (targets->targets);
  targets->targets = table;
  targets->count = used;
}

static bool
was_tried (uint64_t id, const uint64_t *tried, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    if (tried[i] == id)
      return true;
  return false;
}

/* Mean values over the targets of a service, from their last reports. If @doubted is set, too many
 * targets appear to be failing, so none of them is treated as failing. */
typedef struct
{
  uint64_t service_us;
  uint64_t answer_bytes;
  bool doubted;
} Usual;

/* Answers are not parsed here, but error answers arrive much sooner than others and are much
 * shorter. */
static bool
looks_failing (const KqStreamTarget *target, const Usual *usual, KqTime now)
{
  return target->load_at != 0 && now - target->load_at < FAILING_FADES_US &&
         (uint64_t)target->load.service_us * FAILING_PARTS < usual->service_us &&
         (uint64_t)target->load.answer_bytes * FAILING_PARTS < usual->answer_bytes;
}

static Usual
usual_of (const KqStreamTargets *targets, uint32_t service, KqTime now)
{
  Usual usual = { 0 };
  KqDomainCounts looks = { 0 };
  unsigned count = 0;
  for (unsigned i = 0; i < targets->count; i++)
    {
      const KqStreamTarget *target = &targets->targets[i];
      if (target->service != service || target->load.service_us == 0)
        continue;
      usual.service_us += target->load.service_us;
      usual.answer_bytes += target->load.answer_bytes;
      count++;
    }
  if (count == 0)
    return (Usual){ .service_us = SERVICE_FIRST_US };
  usual.service_us /= count;
  usual.answer_bytes /= count;
  for (unsigned i = 0; i < targets->count; i++)
    {
      bool failing = looks_failing (&targets->targets[i], &usual, now);
      if (targets->targets[i].service == service)
        *(failing ? &looks.suspect : &looks.alive) += 1;
    }
  usual.doubted = kq_panic_decide (&looks, 1, KQ_PANIC_PERMILLE).use_suspects;
  return usual;
}

/* Return: expected time until a request that is sent now is answered, in microseconds. The weight
 * of a report decreases with its age, so that a target that was slow is retried. */
static uint64_t
cost (const KqStreamTarget *target, const Usual *usual_load, KqTime now)
{
  uint64_t usual = usual_load->service_us;
  uint64_t way = target->near ? 0 : FAR_US;
  if (!usual_load->doubted && looks_failing (target, usual_load, now))
    way += FAILING_US;
  KqTime age = now - target->load_at;
  if (target->load_at == 0 || age >= LOAD_FADES_US || target->load.slots == 0)
    return usual + target->offered * usual / 4 + way;
  /* A failing target answers faster than others and must not be preferred for it: service times
   * below the mean count as the mean. */
  uint64_t known = target->load.service_us > usual ? target->load.service_us : usual;
  uint64_t fade = (uint64_t)age;
  uint64_t service = (known * (LOAD_FADES_US - fade) + usual * fade) / LOAD_FADES_US;
  uint64_t running = target->load.running + target->load.waiting + target->offered;
  uint64_t slots = target->load.slots;
  uint64_t queued = running >= slots ? running + 1 - slots : 0;
  /* Among targets with free slots, a higher load costs a little more: its slots may be occupied
   * before the offer arrives. */
  return service + queued * service / slots + running * service / slots / 4 + way;
}

KqStreamTarget *
kq_stream_targets_choose (const KqStreamTargets *targets, uint32_t service, const uint64_t *drawn,
                          unsigned drawn_count, const uint64_t *tried, unsigned tried_count,
                          KqTime now)
{
  KqStreamTarget *chosen = NULL;
  KqStreamTarget *resort = NULL;
  Usual usual = usual_of (targets, service, now);
  uint64_t lowest = 0;
  for (unsigned i = 0; i < drawn_count; i++)
    {
      KqStreamTarget *target = kq_stream_targets_find (targets, drawn[i]);
      if (target == NULL || target->service != service || !target->serving ||
          was_tried (target->peer.id, tried, tried_count))
        continue;
      if (target->silent_until > now)
        {
          if (resort == NULL || target->silent_until < resort->silent_until)
            resort = target;
          continue;
        }
      uint64_t price = cost (target, &usual, now);
      if (chosen != NULL && price >= lowest)
        continue;
      chosen = target;
      lowest = price;
    }
  return chosen == NULL ? resort : chosen;
}

void
kq_stream_target_answered (KqStreamTarget *target, const KqTargetLoad *load, KqTime now)
{
  target->load = *load;
  target->load_at = now;
  target->offered = 0;
  target->silences = 0;
  target->silent_until = 0;
}

void
kq_stream_target_silent (KqStreamTarget *target, KqTime now)
{
  if (target->silences < SILENCES_MAX)
    target->silences++;
  target->silent_until = now + SILENT_US * target->silences;
}
