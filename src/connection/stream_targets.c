/* Among the candidates of a new stream, see agent_roll.h, the balancer prefers the one where the
 * next request ends soonest. Its knowledge is what the agents said in their answers, so it is old
 * by the time between two offers; the agent itself decides, and sends the offer back when its slots
 * are taken. */

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/stream_targets.h"
#include "kumquat/panic.h"

/* What another failure domain costs, as time: a free slot nearby goes before one far away, and a
 * slot far away before a queue of a few requests nearby. */
#define FAR_US (20 * KQ_MS)

#define SERVICE_FIRST_US 50000           /* time of a request while no agent has reported one */
#define LOAD_FADES_US    (2 * KQ_SECOND) /* a report older than this says nothing any more */
#define FAILING_PARTS    2 /* a failing target's answers take and hold less than this part */
#define FAILING_US       (500 * KQ_MS)   /* price of an answer that is an error */
#define FAILING_FADES_US (6 * KQ_SECOND) /* after it such a target is tried again */
#define SILENT_US        (500 * KQ_MS)   /* pause after the first offer without an answer */
#define SILENCES_MAX     3               /* after so many the pause does not grow */

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

/**
 * struct Usual - means over the targets of a service, by their last reports
 * @doubted: so many targets look failing that none is taken for it
 */
typedef struct
{
  uint64_t service_us;
  uint64_t answer_bytes;
  bool doubted;
} Usual;

/* Answers are not read here, but one that reports an error comes much sooner than others and is
 * much shorter. */
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

/* Time until a request that is sent now is answered, in microseconds. An old report counts for
 * less, so that a target that was slow is tried again. */
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
  /* A target that fails answers faster than the others; that must not make it the favourite. */
  uint64_t known = target->load.service_us > usual ? target->load.service_us : usual;
  uint64_t fade = (uint64_t)age;
  uint64_t service = (known * (LOAD_FADES_US - fade) + usual * fade) / LOAD_FADES_US;
  uint64_t running = target->load.running + target->load.waiting + target->offered;
  uint64_t slots = target->load.slots;
  uint64_t queued = running >= slots ? running + 1 - slots : 0;
  /* Among targets with free slots, a fuller one is a little worse: its report is soon out of date.
   */
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
